package assembler

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// returnLimit is the time within which a VM must be back in its group after its disk takes writes again.
const returnLimit = 3 * time.Second

// limitFileSize makes all writes to files of this process fail, or succeed again.
func limitFileSize(t *testing.T, refuses bool) {
	t.Helper()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
		t.Fatal(err)
	}
	limit.Cur = limit.Max
	if refuses {
		limit.Cur = 0
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
		t.Fatal(err)
	}
}

// childVariable is set in the process in which a test limits the size of files.
const childVariable = "CROCUSPLANK_TEST_CHILD"

// inChild runs a test in a process of its own, because the testing package writes files too.
func inChild(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	if os.Getenv(childVariable) != "" {
		run(t)
		return
	}
	child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v") //nolint:gosec // The test itself.
	child.Env = append(os.Environ(), childVariable+"=1")
	if output, err := child.CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, output)
	}
}

// lockedBuffer is a buffer for the log of a VM.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (lockedBuffer *lockedBuffer) Write(data []byte) (int, error) {
	lockedBuffer.mutex.Lock()
	defer lockedBuffer.mutex.Unlock()
	return lockedBuffer.buffer.Write(data)
}

func (lockedBuffer *lockedBuffer) String() string {
	lockedBuffer.mutex.Lock()
	defer lockedBuffer.mutex.Unlock()
	return lockedBuffer.buffer.String()
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	return netip.MustParseAddrPort(socket.Addr().String())
}

// newLoneVM builds a VM that is a domain of its own. It has not started.
func newLoneVM(t *testing.T, log *lockedBuffer, parts *supervisor.Supervisor) *VM {
	t.Helper()
	address := freeAddress(t)
	vm, err := New(Settings{
		Name: "vm", Peer: address, Seeds: []netip.AddrPort{address}, DataFolder: t.TempDir(), BootstrapDomain: true,
		LeaseDuration: time.Second, HeartbeatInterval: time.Second, StopTimeout: time.Second,
	}, Dependencies{Logger: zerolog.New(log), Scope: tally.NoopScope, Supervisor: parts})
	if err != nil {
		t.Fatal(err)
	}
	return vm
}

func start(t *testing.T, vm *VM) {
	t.Helper()
	if err := vm.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := vm.Stop(ctx); err != nil {
			t.Errorf("Stop: got %v, want none", err)
		}
	})
}

func eventually(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// Guards against a VM that stays out of its group for ever after its disk has refused writes for a while.
func TestVMReturnsWhenItsDiskTakesWritesAgain(t *testing.T) { inChild(t, checkReturn) }

func checkReturn(t *testing.T) {
	log := &lockedBuffer{}
	vm := newLoneVM(t, log, nil)
	start(t, vm)
	for range 3 {
		eventually(t, 10*time.Second, "the VM leads", vm.overseer.IsLeader)
		limitFileSize(t, true)
		_, err := vm.replicator.Propose(t.Context(), []byte("refused"))
		if !scheduler.ErrOutcomeUnknown.Has(err) {
			t.Errorf("proposal on a refusing disk: got %v, want an unknown outcome", err)
		}
		eventually(t, time.Second, "the VM says that it is out of its group", func() bool {
			return vm.replicator.Err() != nil && !vm.overseer.IsLeader()
		})
		if _, err := vm.replicator.Propose(t.Context(), []byte("late")); !scheduler.ErrNotRun.Has(err) {
			t.Errorf("proposal outside the group: got %v, want not run", err)
		}
		time.Sleep(2 * time.Second)
		limitFileSize(t, false)
		eventually(t, returnLimit, "the VM leads again", vm.overseer.IsLeader)
		if reason := vm.replicator.Err(); reason != nil {
			t.Errorf("out of the group: got %v, want none", reason)
		}
		if _, err := vm.replicator.Propose(t.Context(), []byte("after")); err != nil {
			t.Errorf("proposal after the return: got %v, want none", err)
		}
	}
	if got := strings.Count(log.String(), `"partFailed"`); got == 0 || got > 12 {
		t.Errorf("lines about the failed replica: got %d, want 1 to 12", got)
	}
}

// Guards against a VM that ends, or hangs, because its disk is full when it starts.
func TestVMStartsOnRefusingDisk(t *testing.T) { inChild(t, checkStart) }

func checkStart(t *testing.T) {
	log := &lockedBuffer{}
	vm := newLoneVM(t, log, nil)
	limitFileSize(t, true)
	start(t, vm)
	eventually(t, time.Second, "the VM says that it is out of its group", func() bool {
		return vm.replicator.Err() != nil
	})
	eventually(t, time.Second, "the log has the reason", func() bool {
		return strings.Contains(log.String(), "file too large")
	})
	limitFileSize(t, false)
	eventually(t, returnLimit, "the VM leads", vm.overseer.IsLeader)
}

// Guards against a stop that waits until the disk takes writes again.
func TestVMStopsWhileItsDiskRefuses(t *testing.T) { inChild(t, checkStop) }

func checkStop(t *testing.T) {
	vm := newLoneVM(t, &lockedBuffer{}, nil)
	limitFileSize(t, true)
	if err := vm.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stopping := time.Now()
	_ = vm.Stop(ctx)
	if got, want := time.Since(stopping), time.Second; got > want {
		t.Errorf("stopped after %v, want at most %v", got, want)
	}
}

// Guards against a vote under the incarnation of a folder that was emptied while the VM was out of its group.
func TestVMEndsWhenItsFolderWasEmptied(t *testing.T) { inChild(t, checkEmptiedFolder) }

func checkEmptiedFolder(t *testing.T) {
	parts := supervisor.New()
	vm := newLoneVM(t, &lockedBuffer{}, parts)
	start(t, vm)
	eventually(t, 10*time.Second, "the VM leads", vm.overseer.IsLeader)
	limitFileSize(t, true)
	_, _ = vm.replicator.Propose(t.Context(), []byte("refused"))
	eventually(t, time.Second, "the VM is out of its group", func() bool {
		return vm.replicator.Err() != nil
	})
	if err := os.RemoveAll(filepath.Join(vm.settings.DataFolder, "groups")); err != nil {
		t.Fatal(err)
	}
	limitFileSize(t, false)
	select {
	case <-parts.Failed():
	case <-time.After(returnLimit):
		t.Fatal("got a process that goes on, want a permanent failure")
	}
	if err := parts.Err(); !errors.Is(err, replicator.ErrStateLost) {
		t.Errorf("failure: got %v, want %v", err, replicator.ErrStateLost)
	}
	if err := vm.rejoiner.Close(); err != nil {
		t.Fatal(err)
	}
	journal, err := vm.openJournal(scheduler.VMName(vm.settings.Peer.String()), newIncarnation())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = journal.Close() }()
	if got := journal.Identity().Incarnation(); got == initialIncarnation {
		t.Errorf("incarnation at the next start: got %d, the one of the lost folder", got)
	}
}
