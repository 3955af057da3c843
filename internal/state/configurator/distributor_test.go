package configurator

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a data centre whose configuration reverts to an earlier revision, and against a delta
// that is applied to a document other than its base.
func TestActivation(t *testing.T) {
	document := inventory(2)
	digest, _ := Digest(document)
	delta, err := NewDelta(Normalise(inventory(1)), Normalise(document))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		command Activation
		want    ActivationResult
	}{
		"newer delta": {
			command: Activation{Revision: 6, Base: 5, Digest: digest, Delta: &delta},
			want:    ActivationResult{Outcome: ActivationApplied, Revision: 6},
		},
		"newer document": {
			command: Activation{Revision: 9, Digest: digest, Document: document},
			want:    ActivationResult{Outcome: ActivationApplied, Revision: 9},
		},
		"same revision": {
			command: Activation{Revision: 5, Digest: digest, Document: document},
			want:    ActivationResult{Outcome: ActivationNotNewer, Revision: 5},
		},
		"lower revision": {
			command: Activation{Revision: 4, Digest: digest, Document: document},
			want:    ActivationResult{Outcome: ActivationNotNewer, Revision: 5},
		},
		"other base": {
			command: Activation{Revision: 7, Base: 4, Digest: digest, Delta: &delta},
			want:    ActivationResult{Outcome: ActivationNeedsDocument, Revision: 5},
		},
		"other result": {
			command: Activation{Revision: 6, Base: 5, Digest: make([]byte, 32), Delta: &delta},
			want:    ActivationResult{Outcome: ActivationNeedsDocument, Revision: 5},
		},
		"without content": {
			command: Activation{Revision: 6, Digest: digest},
			want:    ActivationResult{Outcome: ActivationRefused, Revision: 5},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			localMachine := NewLocalMachine()
			first := inventory(1)
			firstDigest, _ := Digest(first)
			localMachine.Apply(1, mustMarshal(Activation{Revision: 5, Digest: firstDigest, Document: first}))
			var got ActivationResult
			if err := encoder.Unmarshal(localMachine.Apply(2, mustMarshal(test.command)), &got); err != nil {
				t.Fatal(err)
			}
			got.Reason = ""
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			if err := localMachine.Restore(bytes.NewReader(nil)); err == nil {
				t.Error("got no error when restoring a lower revision")
			}
		})
	}
}

// Guards against a restarted VM that serves requests with an outdated configuration while it is
// partitioned from the majority.
func TestNotReadyBeforeReadBarrier(t *testing.T) {
	localMachine := NewLocalMachine()
	group := &fakeGroup{machine: localMachine}
	group.partitioned.Store(true)
	if err := localMachine.AwaitReady(t.Context(), group); err == nil {
		t.Error("got no error while partitioned")
	}
	if _, _, ok := localMachine.InForce(); ok {
		t.Error("got ready without a majority")
	}
	group.partitioned.Store(false)
	if err := localMachine.AwaitReady(t.Context(), group); err != nil {
		t.Fatal(err)
	}
	if _, _, ok := localMachine.InForce(); !ok {
		t.Error("got not ready after the read barrier")
	}
}

// Guards against two distributors that propose the same revision, against a revision that is not
// distributed after a change of the local leader, and against subscribers that miss a revision.
func TestDistribute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		submitter, globalMachine, _ := newSubmitter(t)
		localMachine := NewLocalMachine()
		subscription := localMachine.Subscribe()
		defer subscription.Close()
		leader := &fakeGroup{machine: localMachine}
		follower := &fakeGroup{machine: localMachine}
		follower.follower.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go NewDistributor(globalMachine, localMachine, leader).Run(ctx)
		go NewDistributor(globalMachine, localMachine, follower).Run(ctx)
		expect := func(step string, want scheduler.Revision, leaderProposals, followerProposals int) {
			t.Helper()
			time.Sleep(2 * time.Second)
			synctest.Wait()
			for _, group := range []*fakeGroup{leader, follower} {
				group.mutex.Lock()
				defer group.mutex.Unlock()
			}
			if got, _, _ := localMachine.InForce(); got != want {
				t.Errorf("%s: got revision %d, want %d", step, got, want)
			}
			if len(leader.commandSizes) != leaderProposals || len(follower.commandSizes) != followerProposals {
				t.Errorf("%s: got %d and %d proposals, want %d and %d", step,
					len(leader.commandSizes), len(follower.commandSizes), leaderProposals, followerProposals)
			}
		}
		mustSubmit(t, submitter, 0, "1", inventory(1))
		expect("first revision", 1, 1, 0)
		<-subscription.Changed()
		leader.partitioned.Store(true)
		mustSubmit(t, submitter, 1, "2", inventory(2))
		mustSubmit(t, submitter, 2, "3", inventory(3))
		expect("leader partitioned", 1, 1, 0)
		leader.follower.Store(true)
		follower.follower.Store(false)
		expect("new leader", 3, 1, 1)
		<-subscription.Changed()
	})
}
