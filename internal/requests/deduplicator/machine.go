// Package deduplicator ensures at-most-once execution of non-idempotent requests by means of idempotency keys.
// Machine is the replicated state machine that holds the idempotency records of a data centre's group; Store is
// its client in the gateway.
package deduplicator

import (
	"bytes"
	"cmp"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("deduplicator")

const (
	// defaultMaxRecords and defaultMaxResponseBytes limit the state to about 64 MiB: 200,000 records of
	// about 150 bytes and 32 MiB of responses.
	defaultMaxRecords       = 200_000
	defaultMaxResponseBytes = 32 << 20
	// sweepInterval is the minimum time between two sweeps of expired records, in milliseconds of the machine's
	// clock. fullSweepInterval applies instead when a new record would exceed the record limit.
	sweepInterval     = 60_000
	fullSweepInterval = 1_000
)

type recordState string

const (
	stateRunning recordState = "running"
	stateDone    recordState = "done"
	stateUnknown recordState = "unknown"
)

// record is the idempotency record of one key. It is part of the snapshot.
type record struct {
	Key         string                   `cbor:"y"`
	Digest      []byte                   `cbor:"d"`
	Attempt     []byte                   `cbor:"a"`
	VM          scheduler.VMName         `cbor:"v"`
	Incarnation scheduler.Incarnation    `cbor:"i"`
	Deadline    int64                    `cbor:"e"`
	LastUsed    int64                    `cbor:"u"`
	State       recordState              `cbor:"s"`
	Response    scheduler.StoredResponse `cbor:"r"`
	// FinishSequence orders stored responses by age. It is 0 if the response's body is not stored.
	FinishSequence uint64 `cbor:"f,omitempty"`
}

// state is the state of a Machine as it is encoded in a snapshot. Records is set only while a snapshot is encoded or
// decoded; otherwise Machine.records holds the records.
type state struct {
	Clock        int64                                      `cbor:"c"`
	LastSweep    int64                                      `cbor:"w"`
	Sequence     uint64                                     `cbor:"q"`
	Incarnations map[scheduler.VMName]scheduler.Incarnation `cbor:"l"`
	Records      []*record                                  `cbor:"r"`
}

// Machine is the replicated state machine. It implements scheduler.StateMachine and is safe for concurrent
// use. Its logical clock is the highest timestamp of the commands that have been applied.
type Machine struct {
	maxRecords       int
	maxResponseBytes int

	mutex         sync.Mutex
	state         state
	records       map[string]*record
	responseBytes int
	// responses lists the records with stored responses, oldest first. It may contain records that have been removed.
	responses []*record
	waiters   map[string]chan struct{}
}

// MachineOption configures a Machine. All replicas of a group must use the same options, since the limits decide
// the results of commands.
type MachineOption func(machine *Machine)

// WithLimits sets the maximum number of records and the maximum total size of the stored responses.
func WithLimits(maxRecords, maxResponseBytes int) MachineOption {
	return func(machine *Machine) { machine.maxRecords, machine.maxResponseBytes = maxRecords, maxResponseBytes }
}

// NewMachine returns an empty Machine.
func NewMachine(options ...MachineOption) *Machine {
	machine := &Machine{
		maxRecords: defaultMaxRecords, maxResponseBytes: defaultMaxResponseBytes,
		state:   state{Incarnations: map[scheduler.VMName]scheduler.Incarnation{}},
		records: map[string]*record{}, waiters: map[string]chan struct{}{},
	}
	for _, option := range options {
		option(machine)
	}
	return machine
}

// Apply executes a command and returns the encoded result.
func (machine *Machine) Apply(_ scheduler.Index, body []byte) []byte {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	var proposal command
	response := result{Kind: resultInvalid}
	if err := cbor.Unmarshal(body, &proposal); err == nil {
		machine.advanceClock(proposal.Now)
		switch proposal.Kind {
		case commandBegin:
			response = machine.begin(proposal)
		case commandFinish:
			response = machine.finish(proposal)
		case commandRegister:
			response = machine.registerIncarnation(proposal)
		}
	}
	encoded, err := cbor.Marshal(response)
	if err != nil {
		return nil
	}
	return encoded
}

// advanceClock advances the clock, which is monotonic, and removes expired records once per sweepInterval.
func (machine *Machine) advanceClock(now int64) {
	machine.state.Clock = max(machine.state.Clock, now)
	if machine.state.Clock-machine.state.LastSweep >= sweepInterval {
		machine.sweep()
	}
}

func (machine *Machine) sweep() {
	machine.state.LastSweep = machine.state.Clock
	for _, entry := range machine.records {
		if machine.expired(entry) {
			machine.remove(entry)
		}
	}
	machine.responses = slices.DeleteFunc(machine.responses, func(entry *record) bool { return entry.FinishSequence == 0 })
}

// expired uses the same clock as issueTimeExpired, so that a key with an issue time is rejected after its record
// has been removed.
func (machine *Machine) expired(entry *record) bool {
	if issued, ok := issueTime(entry.Key); ok && issued <= machine.state.Clock+maxIssueTimeSkew.Milliseconds() {
		return machine.issueTimeExpired(entry.Key)
	}
	return machine.state.Clock-max(entry.LastUsed, entry.Deadline) > keyRetention.Milliseconds()
}

func (machine *Machine) issueTimeExpired(key string) bool {
	issued, ok := issueTime(key)
	return ok && machine.state.Clock-issued > keyRetention.Milliseconds()
}

// issueTime returns the issue time of a key of the form dataCentre:issueTime:random.
func issueTime(key string) (int64, bool) {
	parts := strings.Split(key, ":")
	if len(parts) != 3 {
		return 0, false
	}
	issued, err := strconv.ParseInt(parts[1], 10, 64)
	return issued, err == nil && issued > 0
}

func (machine *Machine) begin(proposal command) result {
	if proposal.Key == "" || len(proposal.Key) > MaxKeyLength || len(proposal.Attempt) == 0 || len(proposal.Digest) > 64 {
		return result{Kind: resultInvalid}
	}
	entry := machine.records[proposal.Key]
	if entry != nil && machine.expired(entry) {
		machine.remove(entry)
		entry = nil
	}
	if entry != nil {
		return machine.beginExisting(entry, proposal)
	}
	if machine.issueTimeExpired(proposal.Key) {
		return result{Kind: resultUnknown}
	}
	if machine.state.Clock > proposal.Deadline || proposal.Incarnation < machine.state.Incarnations[proposal.VM] {
		// The proposal was delayed; its gateway no longer waits for the result.
		return result{Kind: resultStale}
	}
	if len(machine.records) >= machine.maxRecords && machine.state.Clock-machine.state.LastSweep >= fullSweepInterval {
		machine.sweep()
	}
	if len(machine.records) >= machine.maxRecords {
		return result{Kind: resultFull}
	}
	machine.records[proposal.Key] = &record{
		Key: proposal.Key, Digest: proposal.Digest, Attempt: proposal.Attempt, VM: proposal.VM, Incarnation: proposal.Incarnation,
		Deadline: min(proposal.Deadline, machine.state.Clock+keyRetention.Milliseconds()), LastUsed: machine.state.Clock, State: stateRunning,
	}
	return result{Kind: resultRun}
}

// beginExisting handles a begin for a key that has a record.
func (machine *Machine) beginExisting(entry *record, proposal command) result {
	if !bytes.Equal(entry.Digest, proposal.Digest) {
		return result{Kind: resultConflict}
	}
	entry.LastUsed = machine.state.Clock
	if entry.State == stateRunning && bytes.Equal(entry.Attempt, proposal.Attempt) {
		return result{Kind: resultRun}
	}
	if entry.State == stateRunning && machine.state.Clock > entry.Deadline+deadlineGracePeriod.Milliseconds() {
		machine.setState(entry, stateUnknown)
	}
	switch {
	case entry.State == stateRunning:
		return result{Kind: resultRunning}
	case entry.State == stateDone && !entry.Response.Truncated:
		return result{Kind: resultCompleted, Response: entry.Response}
	default:
		return result{Kind: resultUnknown}
	}
}

// finish records the outcome of an attempt. An attempt whose state was set to unknown, because its gateway was
// slow or was presumed to have restarted, may still report its outcome.
func (machine *Machine) finish(proposal command) result {
	entry := machine.records[proposal.Key]
	if entry == nil || !bytes.Equal(entry.Attempt, proposal.Attempt) || entry.State == stateDone {
		return result{Kind: resultOK}
	}
	switch proposal.Outcome {
	case scheduler.OutcomeNotRun:
		machine.remove(entry)
	case scheduler.OutcomeDone:
		machine.storeResponse(entry, proposal.Response)
		machine.setState(entry, stateDone)
	default:
		machine.setState(entry, stateUnknown)
	}
	return result{Kind: resultOK}
}

// registerIncarnation records that the gateway on a VM has restarted. The outcome of requests that its earlier
// incarnations were running is unknown.
func (machine *Machine) registerIncarnation(proposal command) result {
	if proposal.Incarnation <= machine.state.Incarnations[proposal.VM] {
		return result{Kind: resultOK}
	}
	machine.state.Incarnations[proposal.VM] = proposal.Incarnation
	for _, entry := range machine.records {
		if entry.VM == proposal.VM && entry.Incarnation < proposal.Incarnation && entry.State == stateRunning {
			machine.setState(entry, stateUnknown)
		}
	}
	return result{Kind: resultOK}
}

// storeResponse stores a response and evicts the oldest ones while the stored responses exceed the limit. A
// retry of a request whose response was evicted returns unknown.
func (machine *Machine) storeResponse(entry *record, response scheduler.StoredResponse) {
	size := len(response.Body)
	for name, value := range response.Header {
		size += len(name) + len(value)
	}
	if response.Truncated || len(response.Body) > maxBodyBytes || size-len(response.Body) > maxHeaderBytes {
		entry.Response = scheduler.StoredResponse{Status: response.Status, Truncated: true}
		return
	}
	machine.state.Sequence++
	entry.Response, entry.FinishSequence = response, machine.state.Sequence
	machine.responses = append(machine.responses, entry)
	machine.responseBytes += responseSize(entry)
	for machine.responseBytes > machine.maxResponseBytes && len(machine.responses) > 0 {
		machine.dropResponse(machine.responses[0])
		machine.responses = machine.responses[1:]
	}
}

// responseSize returns the size of a stored response: body, header and 64 bytes of overhead.
func responseSize(entry *record) int {
	size := 64 + len(entry.Response.Body)
	for name, value := range entry.Response.Header {
		size += len(name) + len(value)
	}
	return size
}

func (machine *Machine) dropResponse(entry *record) {
	if entry.FinishSequence == 0 {
		return
	}
	machine.responseBytes -= responseSize(entry)
	entry.FinishSequence = 0
	entry.Response = scheduler.StoredResponse{Status: entry.Response.Status, Truncated: true}
}

func (machine *Machine) setState(entry *record, newState recordState) {
	entry.State, entry.LastUsed = newState, machine.state.Clock
	machine.notifyWaiters(entry.Key)
}

func (machine *Machine) remove(entry *record) {
	machine.dropResponse(entry)
	delete(machine.records, entry.Key)
	machine.notifyWaiters(entry.Key)
}

func (machine *Machine) notifyWaiters(key string) {
	if waiter, ok := machine.waiters[key]; ok {
		close(waiter)
		delete(machine.waiters, key)
	}
}

// Changed returns a channel that is closed when the key's request is no longer running according to this replica.
// The channel is already closed if that is so at the time of the call.
func (machine *Machine) Changed(key string) <-chan struct{} {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if entry := machine.records[key]; entry == nil || entry.State != stateRunning {
		newState := make(chan struct{})
		close(newState)
		return newState
	}
	if machine.waiters[key] == nil {
		machine.waiters[key] = make(chan struct{})
	}
	return machine.waiters[key]
}

// Snapshot writes the state to w.
func (machine *Machine) Snapshot(w io.Writer) error {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	machine.state.Records = nil
	for _, key := range slices.Sorted(maps.Keys(machine.records)) {
		machine.state.Records = append(machine.state.Records, machine.records[key])
	}
	err := cbor.NewEncoder(w).Encode(machine.state)
	machine.state.Records = nil
	return Error.Wrap(err)
}

// Restore replaces the state with a snapshot that was written by Snapshot.
func (machine *Machine) Restore(r io.Reader) error {
	var restored state
	// The codec's default maximum array length is below the number of records of a full table.
	mode, err := cbor.DecOptions{MaxArrayElements: 2 * max(machine.maxRecords, 1<<17)}.DecMode()
	if err != nil {
		return Error.Wrap(err)
	}
	if err := mode.NewDecoder(r).Decode(&restored); err != nil {
		return Error.Wrap(err)
	}
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	machine.records, machine.responses, machine.responseBytes = map[string]*record{}, nil, 0
	for _, entry := range restored.Records {
		machine.records[entry.Key] = entry
		if entry.FinishSequence > 0 {
			machine.responses = append(machine.responses, entry)
			machine.responseBytes += responseSize(entry)
		}
	}
	slices.SortFunc(machine.responses, func(a, b *record) int { return cmp.Compare(a.FinishSequence, b.FinishSequence) })
	restored.Records = nil
	if restored.Incarnations == nil {
		restored.Incarnations = map[scheduler.VMName]scheduler.Incarnation{}
	}
	machine.state = restored
	for key := range machine.waiters {
		machine.notifyWaiters(key)
	}
	return nil
}
