package replicator

import (
	"context"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// registerHandlers connects the transport to the event loop of the current node. Messages that arrive by Send are
// dropped when the inbox of the event loop is full, because a blocked handler would block the whole connection, and
// while this VM is out of the group.
func (replicator *Replicator) registerHandlers() {
	receive[appendMessage](replicator, kindAppend, false)
	receive[appendResponse](replicator, kindAppendResponse, false)
	receive[voteMessage](replicator, kindVote, false)
	receive[voteMessage](replicator, kindPreVote, true)
	receive[voteResponse](replicator, kindVoteResponse, false)
	receive[voteResponse](replicator, kindPreVoteResponse, true)
	receive[snapshotChunk](replicator, kindSnapshotChunk, false)
	receive[snapshotResponse](replicator, kindSnapshotResponse, false)
	receive[transferMessage](replicator, kindTransfer, false)
	node := replicator.node()
	node.transport.Handle(node.name, kindPropose, replicator.handlePropose)
	node.transport.Handle(node.name, kindRead, replicator.handleReadRequest)
}

func receive[T any](replicator *Replicator, kind scheduler.MessageKind, preVote bool) {
	node := replicator.node()
	node.transport.Handle(node.name, kind,
		func(_ context.Context, from scheduler.VMName, body []byte) ([]byte, error) {
			message, err := decode[T](body)
			if err != nil {
				node.logger.Warn().Str("event", "messageNotDecoded").Err(err).Str("peer", string(from)).Str("kind", string(kind)).
					Msg("failed to decode message")
				return nil, err
			}
			replicator.node().receive(inbound{from: from, message: message, preVote: preVote})
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
	node := replicator.node()
	if !node.isRunning() {
		return encode(proposeResponse{Outcome: outcomeNotLeader, Reason: "the group is not running on the leader"}), nil
	}
	return encode(node.propose(ctx, *message)), nil
}

func (replicator *Replicator) handleReadRequest(ctx context.Context, from scheduler.VMName, _ []byte) ([]byte, error) {
	node := replicator.node()
	if !node.isRunning() {
		return nil, Error.New("group %s is not running on %s", node.name, node.self.VM)
	}
	index, err := node.requestReadIndex(ctx, from)
	if err != nil {
		return nil, err
	}
	return encode(readResponse{Index: index}), nil
}
