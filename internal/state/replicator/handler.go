package replicator

import (
	"context"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// registerHandlers connects the transport to the event loop. Messages that came by Send are dropped
// when the loop does not keep up, because a waiting handler would hold up the whole connection.
func (replicator *Replicator) registerHandlers() {
	node := replicator.node
	receive[appendMessage](node, kindAppend, false)
	receive[appendAnswer](node, kindAppendAnswer, false)
	receive[voteMessage](node, kindVote, false)
	receive[voteMessage](node, kindPreVote, true)
	receive[voteAnswer](node, kindVoteAnswer, false)
	receive[voteAnswer](node, kindPreVoteAnswer, true)
	receive[snapshotPart](node, kindSnapshotPart, false)
	receive[snapshotAnswer](node, kindSnapshotAnswer, false)
	receive[transferMessage](node, kindTransfer, false)
	node.transport.Handle(node.name, kindPropose, replicator.handlePropose)
	node.transport.Handle(node.name, kindRead, replicator.handleReadCall)
}

func receive[T any](node *node, kind scheduler.MessageKind, preVote bool) {
	node.transport.Handle(node.name, kind,
		func(_ context.Context, from scheduler.VMName, body []byte) ([]byte, error) {
			message, err := decode[T](body)
			if err != nil {
				node.logger.Warn().Str("event", "messageNotDecoded").Err(err).Str("peer", string(from)).Str("kind", string(kind)).
					Msg("message not decoded")
				return nil, err
			}
			select {
			case node.inbox <- inbound{from: from, message: message, preVote: preVote}:
			default:
			}
			return nil, nil
		})
}

// handlePropose answers a follower's proposal. The outcome travels in the body, because it tells more
// than an error class.
func (replicator *Replicator) handlePropose(ctx context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	message, err := decode[proposeMessage](body)
	if err != nil {
		return nil, notRun("%v", err)
	}
	if !replicator.isRunning() {
		return encode(proposeAnswer{Outcome: outcomeNotLeader, Reason: "the group does not run there"}), nil
	}
	return encode(replicator.node.propose(ctx, *message)), nil
}

func (replicator *Replicator) handleReadCall(ctx context.Context, from scheduler.VMName, _ []byte) ([]byte, error) {
	if !replicator.isRunning() {
		return nil, Error.New("group %s does not run on %s", replicator.Name(), replicator.node.self.VM)
	}
	index, err := replicator.node.askReadIndex(ctx, from)
	if err != nil {
		return nil, err
	}
	return encode(readAnswer{Index: index}), nil
}
