package replicator

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Outcomes of a proposal as the leader reports them.
const (
	outcomeDone uint8 = iota
	outcomeNotRun
	// outcomeNotLeader is outcomeNotRun for a reason that another VM or a later attempt may not
	// have.
	outcomeNotLeader
	outcomeUnknown
)

// proposeAnswer is a wire type. Result is set for outcomeDone and Reason for the others.
type proposeAnswer struct {
	_       struct{} `cbor:",toarray"`
	Outcome uint8
	Reason  string
	Result  []byte
}

const (
	callQueued int32 = iota
	callTaken
	callWithdrawn
)

// call is a proposal on its way through the event loop. Either the loop takes it or the caller
// withdraws it, so a caller that withdrew knows that the command never runs.
type call struct {
	command []byte
	change  *change
	state   atomic.Int32
	done    chan proposeAnswer
}

func newCall(message proposeMessage) *call {
	return &call{command: message.Command, change: message.Change, done: make(chan proposeAnswer, 1)}
}

func (call *call) take() bool     { return call.state.CompareAndSwap(callQueued, callTaken) }
func (call *call) withdraw() bool { return call.state.CompareAndSwap(callQueued, callWithdrawn) }

func (call *call) finish(outcome uint8, reason string, result []byte) {
	call.done <- proposeAnswer{Outcome: outcome, Reason: reason, Result: result}
}

// refuse ends a call that was not appended.
func (call *call) refuse(format string, arguments ...any) {
	if call.take() {
		call.finish(outcomeNotLeader, notRun(format, arguments...).Error(), nil)
	}
}

// Propose replicates command and returns the state machine's result. See scheduler.Group. A command
// may have up to 1 MiB. While no leader is known, or the one known has changed, it tries again for up
// to 3 s.
func (replicator *Replicator) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, notRun("command of %d bytes exceeds %d", len(command), maxCommandBytes)
	}
	return replicator.submit(ctx, proposeMessage{Command: bytes.Clone(command)})
}

// submit repeats a proposal as long as it has surely not run for lack of a leader.
func (replicator *Replicator) submit(ctx context.Context, message proposeMessage) ([]byte, error) {
	giveUp := time.Now().Add(leaderWait)
	for {
		if err := ctx.Err(); err != nil {
			return nil, notRun("%v", err)
		}
		answer := replicator.submitOnce(ctx, message)
		switch answer.Outcome {
		case outcomeDone:
			return answer.Result, nil
		case outcomeUnknown:
			return nil, unknown("%s", answer.Reason)
		case outcomeNotRun:
			return nil, notRun("%s", answer.Reason)
		}
		if time.Now().After(giveUp) || !replicator.waitToRetry(ctx) {
			return nil, notRun("%s", answer.Reason)
		}
	}
}

// waitToRetry waits one tick. It returns false when another attempt makes no sense.
func (replicator *Replicator) waitToRetry(ctx context.Context) bool {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-replicator.node.stopped:
	}
	return false
}

func (replicator *Replicator) submitOnce(ctx context.Context, message proposeMessage) proposeAnswer {
	node := replicator.node
	if !replicator.isRunning() {
		return proposeAnswer{Outcome: outcomeNotRun, Reason: "the group does not run on this VM"}
	}
	switch leader := replicator.Status().Leader(); leader {
	case "":
		return proposeAnswer{Outcome: outcomeNotLeader, Reason: "no leader is known"}
	case node.self.VM:
		return node.propose(ctx, message)
	default:
		return node.forward(ctx, leader, message)
	}
}

func (node *node) forward(ctx context.Context, leader scheduler.VMName, message proposeMessage) proposeAnswer {
	body, err := node.transport.Call(ctx, leader, node.name, kindPropose, encode(message))
	if scheduler.ErrNotRun.Has(err) {
		return proposeAnswer{Outcome: outcomeNotLeader, Reason: err.Error()}
	}
	if err != nil {
		return proposeAnswer{Outcome: outcomeUnknown, Reason: err.Error()}
	}
	answer, err := decode[proposeAnswer](body)
	if err != nil {
		return proposeAnswer{Outcome: outcomeUnknown, Reason: err.Error()}
	}
	return *answer
}

// propose passes a proposal through the local event loop, which refuses it unless this VM leads.
func (node *node) propose(ctx context.Context, message proposeMessage) proposeAnswer {
	call := newCall(message)
	select {
	case node.proposals <- call:
	case <-ctx.Done():
		return proposeAnswer{Outcome: outcomeNotRun, Reason: ctx.Err().Error()}
	case <-node.stopped:
		return proposeAnswer{Outcome: outcomeNotLeader, Reason: "the group has stopped on this VM"}
	}
	var reason string
	select {
	case answer := <-call.done:
		return answer
	case <-ctx.Done():
		reason = ctx.Err().Error()
	case <-node.stopped:
		reason = "the group has stopped on this VM"
	}
	if call.withdraw() {
		return proposeAnswer{Outcome: outcomeNotRun, Reason: reason}
	}
	select {
	case answer := <-call.done:
		return answer
	default:
		return proposeAnswer{Outcome: outcomeUnknown, Reason: reason}
	}
}

// handleProposals appends first and the proposals that wait behind it with one append.
func (node *node) handleProposals(first *call) error {
	calls := []*call{first}
	for len(calls) < node.settings.batchLimit && len(node.proposals) > 0 {
		calls = append(calls, <-node.proposals)
	}
	if node.role != roleLeader || node.leaving || node.leading.leaseRevoked || !node.standsForElection() {
		for _, call := range calls {
			call.refuse("%s does not lead group %s", node.self.VM, node.name)
		}
		return nil
	}
	var entries []scheduler.Entry
	var commands, changes []*call
	for _, call := range calls {
		switch {
		case !call.take():
		case call.change != nil:
			changes = append(changes, call)
		default:
			commands = append(commands, call)
			entries = append(entries, scheduler.Entry{Kind: scheduler.EntryCommand, Data: call.command})
		}
	}
	if err := node.appendFor(commands, entries); err != nil {
		return err
	}
	for _, call := range changes {
		if err := node.handleChange(call); err != nil {
			return err
		}
	}
	return nil
}

// appendFor appends entries of the leader on behalf of calls. When that fails, part of the entries may
// be in the journal and may be replicated after a restart, so the outcome is unknown.
func (node *node) appendFor(calls []*call, entries []scheduler.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := node.appendOwn(entries); err != nil {
		for _, call := range calls {
			call.finish(outcomeUnknown, err.Error(), nil)
		}
		return err
	}
	for position, call := range calls {
		node.waiting.add(entries[position], call)
	}
	return nil
}
