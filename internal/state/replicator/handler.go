package replicator

import (
	"context"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// registerHandlers connects the transport to the event loop. Messages that arrive by Send are dropped when
// the inbox of the event loop is full, because a blocked handler would block the whole connection.
func (replicator *Replicator) registerHandlers() {
	node := replicator.node
	receive[appendMessage](node, kindAppend, false)
	receive[appendResponse](node, kindAppendResponse, false)
	receive[voteMessage](node, kindVote, false)
	receive[voteMessage](node, kindPreVote, true)
	receive[voteResponse](node, kindVoteResponse, false)
	receive[voteResponse](node, kindPreVoteResponse, true)
	receive[snapshotChunk](node, kindSnapshotChunk, false)
	receive[snapshotResponse](node, kindSnapshotResponse, false)
	receive[transferMessage](node, kindTransfer, false)
	node.transport.Handle(node.name, kindPropose, replicator.handlePropose)
	node.transport.Handle(node.name, kindRead, replicator.handleReadRequest)
}

func receive[T any](node *node, kind scheduler.MessageKind, preVote bool) {
	node.transport.Handle(node.name, kind,
		func(_ context.Context, from scheduler.VMName, body []byte) ([]byte, error) {
			message, err := decode[T](body)
			if err != nil {
				node.logger.Warn().Str("event", "messageNotDecoded").Err(err).Str("peer", string(from)).Str("kind", string(kind)).
					Msg("failed to decode message")
				return nil, err
			}
			select {
			case node.inbox <- inbound{from: from, message: message, preVote: preVote}:
			default:
			}
			return nil, nil
		})
}

// handlePropose processes a proposal that a follower has forwarded. The outcome is returned in the body,
// because an error class cannot express all outcomes.
func (replicator *Replicator) handlePropose(ctx context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	message, err := decode[proposeMessage](body)
	if err != nil {
		return nil, notRun("%v", err)
	}
	if !replicator.isRunning() {
		return encode(proposeResponse{Outcome: outcomeNotLeader, Reason: "the group is not running on the leader"}), nil
	}
	return encode(replicator.node.propose(ctx, *message)), nil
}

func (replicator *Replicator) handleReadRequest(ctx context.Context, from scheduler.VMName, _ []byte) ([]byte, error) {
	if !replicator.isRunning() {
		return nil, Error.New("group %s is not running on %s", replicator.Name(), replicator.node.self.VM)
	}
	index, err := replicator.node.requestReadIndex(ctx, from)
	if err != nil {
		return nil, err
	}
	return encode(readResponse{Index: index}), nil
}
