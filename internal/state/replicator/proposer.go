package replicator

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Outcomes of a proposal that the leader reports.
const (
	outcomeDone uint8 = iota
	outcomeNotRun
	// outcomeNotLeader is like outcomeNotRun, but a retry or another VM may succeed.
	outcomeNotLeader
	outcomeUnknown
)

// proposeResponse is a wire type. Result is set for outcomeDone, and Reason for the other outcomes.
type proposeResponse struct {
	_       struct{} `cbor:",toarray"`
	Outcome uint8
	Reason  string
	Result  []byte
}

const (
	proposalQueued int32 = iota
	proposalAccepted
	proposalWithdrawn
)

// proposal is a proposal that is queued for or processed by the event loop. Either the event loop accepts it
// or the caller withdraws it, so a caller that has withdrawn a proposal knows that the command never runs.
type proposal struct {
	command []byte
	change  *change
	state   atomic.Int32
	done    chan proposeResponse
}

func newProposal(message proposeMessage) *proposal {
	return &proposal{command: message.Command, change: message.Change, done: make(chan proposeResponse, 1)}
}

func (proposal *proposal) accept() bool {
	return proposal.state.CompareAndSwap(proposalQueued, proposalAccepted)
}

func (proposal *proposal) withdraw() bool {
	return proposal.state.CompareAndSwap(proposalQueued, proposalWithdrawn)
}

func (proposal *proposal) finish(outcome uint8, reason string, result []byte) {
	proposal.done <- proposeResponse{Outcome: outcome, Reason: reason, Result: result}
}

// reject completes a proposal that was not appended, unless it was withdrawn.
func (proposal *proposal) reject(format string, arguments ...any) {
	if proposal.accept() {
		proposal.finish(outcomeNotLeader, notRun(format, arguments...).Error(), nil)
	}
}

// Propose implements scheduler.Group. The size of a command is limited to 1 MiB. While no leader is known,
// or if the known VM is no longer the leader, Propose retries for up to 3 s.
func (replicator *Replicator) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, notRun("command of %d bytes exceeds the limit of %d", len(command), maxCommandBytes)
	}
	return replicator.submit(ctx, proposeMessage{Command: bytes.Clone(command)})
}

// submit retries a proposal that has not run because there was no leader.
func (replicator *Replicator) submit(ctx context.Context, message proposeMessage) ([]byte, error) {
	retryDeadline := time.Now().Add(leaderWaitTimeout)
	for {
		if err := ctx.Err(); err != nil {
			return nil, notRun("%v", err)
		}
		response := replicator.submitOnce(ctx, message)
		switch response.Outcome {
		case outcomeDone:
			return response.Result, nil
		case outcomeUnknown:
			return nil, unknown("%s", response.Reason)
		case outcomeNotRun:
			return nil, notRun("%s", response.Reason)
		}
		if time.Now().After(retryDeadline) || !replicator.waitToRetry(ctx) {
			return nil, notRun("%s", response.Reason)
		}
	}
}

// waitToRetry waits for one tick interval. It returns false if ctx has ended or the node has stopped.
func (replicator *Replicator) waitToRetry(ctx context.Context) bool {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-replicator.node().stopped:
	}
	return false
}

func (replicator *Replicator) submitOnce(ctx context.Context, message proposeMessage) proposeResponse {
	node := replicator.node()
	if !node.isRunning() {
		return proposeResponse{Outcome: outcomeNotRun, Reason: "the group is not running on this VM"}
	}
	switch leader := node.view.Load().status.Leader(); leader {
	case "":
		return proposeResponse{Outcome: outcomeNotLeader, Reason: "no leader is known"}
	case node.self.VM:
		return node.propose(ctx, message)
	default:
		return node.forward(ctx, leader, message)
	}
}

func (node *node) forward(ctx context.Context, leader scheduler.VMName, message proposeMessage) proposeResponse {
	body, err := node.transport.Call(ctx, leader, node.name, kindPropose, encode(message))
	if scheduler.ErrNotRun.Has(err) {
		return proposeResponse{Outcome: outcomeNotLeader, Reason: err.Error()}
	}
	if err != nil {
		return proposeResponse{Outcome: outcomeUnknown, Reason: err.Error()}
	}
	response, err := decode[proposeResponse](body)
	if err != nil {
		return proposeResponse{Outcome: outcomeUnknown, Reason: err.Error()}
	}
	return *response
}

// propose submits a proposal to the local event loop, which rejects it unless this VM is the leader.
func (node *node) propose(ctx context.Context, message proposeMessage) proposeResponse {
	proposal := newProposal(message)
	select {
	case node.proposals <- proposal:
	case <-ctx.Done():
		return proposeResponse{Outcome: outcomeNotRun, Reason: ctx.Err().Error()}
	case <-node.stopped:
		return proposeResponse{Outcome: outcomeNotLeader, Reason: "the group has stopped on this VM"}
	}
	var reason string
	select {
	case response := <-proposal.done:
		return response
	case <-ctx.Done():
		reason = ctx.Err().Error()
	case <-node.stopped:
		reason = "the group has stopped on this VM"
	}
	if proposal.withdraw() {
		return proposeResponse{Outcome: outcomeNotRun, Reason: reason}
	}
	select {
	case response := <-proposal.done:
		return response
	default:
		return proposeResponse{Outcome: outcomeUnknown, Reason: reason}
	}
}

// handleProposals appends first and the proposals queued behind it as one batch.
func (node *node) handleProposals(first *proposal) error {
	batch := []*proposal{first}
	for len(batch) < node.settings.batchLimit && len(node.proposals) > 0 {
		batch = append(batch, <-node.proposals)
	}
	if node.role != roleLeader || node.closing || node.leading.leaseRevoked || !node.standsForElection() {
		for _, proposal := range batch {
			proposal.reject("%s is not the leader of group %s", node.self.VM, node.name)
		}
		return nil
	}
	var entries []scheduler.Entry
	var commands, changes []*proposal
	for _, proposal := range batch {
		switch {
		case !proposal.accept():
		case proposal.change != nil:
			changes = append(changes, proposal)
		default:
			commands = append(commands, proposal)
			entries = append(entries, scheduler.Entry{Kind: scheduler.EntryCommand, Data: proposal.command})
		}
	}
	if err := node.appendProposals(commands, entries); err != nil {
		return err
	}
	for _, proposal := range changes {
		if err := node.handleChange(proposal); err != nil {
			return err
		}
	}
	return nil
}

// appendProposals appends the entries of a batch of proposals. If that fails, some of the entries may be in
// the journal and may be replicated after a restart, so the outcome is unknown.
func (node *node) appendProposals(batch []*proposal, entries []scheduler.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := node.appendAsLeader(entries); err != nil {
		for _, proposal := range batch {
			proposal.finish(outcomeUnknown, err.Error(), nil)
		}
		return err
	}
	for position, proposal := range batch {
		node.pending.add(entries[position], proposal)
	}
	return nil
}
