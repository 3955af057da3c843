// Package deduplicator makes non-idempotent requests run at most once. Machine holds the idempotency
// records of a data centre's group; Store is the gateway's side.
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
	// defaultRecordLimit and defaultAnswerBytes bound the state to about 64 MiB: 200,000 records of
	// about 150 bytes and 32 MiB of answers.
	defaultRecordLimit = 200_000
	defaultAnswerBytes = 32 << 20
	// sweepInterval is how often expired records are removed, in milliseconds of the machine's clock.
	sweepInterval     = 60_000
	fullSweepInterval = 1_000
)

type state string

const (
	stateRunning state = "running"
	stateDone    state = "done"
	stateUnknown state = "unknown"
)

// record is what is known of one key. It is part of the snapshot.
type record struct {
	Key      string                   `cbor:"y"`
	Digest   []byte                   `cbor:"d"`
	Attempt  []byte                   `cbor:"a"`
	VM       scheduler.VMName         `cbor:"v"`
	Life     scheduler.Incarnation    `cbor:"i"`
	Deadline int64                    `cbor:"e"`
	Used     int64                    `cbor:"u"`
	State    state                    `cbor:"s"`
	Answer   scheduler.StoredResponse `cbor:"r"`
	// Finished orders the answers by age; 0 when no body is kept.
	Finished uint64 `cbor:"f,omitempty"`
}

// content is the whole state, as the snapshot holds it.
type content struct {
	Clock    int64                                      `cbor:"c"`
	Swept    int64                                      `cbor:"w"`
	Sequence uint64                                     `cbor:"q"`
	Lives    map[scheduler.VMName]scheduler.Incarnation `cbor:"l"`
	Records  []*record                                  `cbor:"r"`
}

// Machine is the replicated state. It implements scheduler.StateMachine; its methods are safe for
// concurrent use. The clock of the machine is the highest time that any command has carried.
type Machine struct {
	recordLimit int
	answerBytes int

	mutex   sync.Mutex
	content content
	records map[string]*record
	bytes   int
	// answers lists the keys with kept bodies, oldest first. It may name records that are gone.
	answers []*record
	changed map[string]chan struct{}
}

// MachineOption changes a Machine at its creation. All replicas of a group need the same options.
type MachineOption func(machine *Machine)

// WithLimits sets how many records and how many bytes of answers are kept.
func WithLimits(records, answerBytes int) MachineOption {
	return func(machine *Machine) { machine.recordLimit, machine.answerBytes = records, answerBytes }
}

// NewMachine returns an empty Machine.
func NewMachine(options ...MachineOption) *Machine {
	machine := &Machine{
		recordLimit: defaultRecordLimit, answerBytes: defaultAnswerBytes,
		content: content{Lives: map[scheduler.VMName]scheduler.Incarnation{}},
		records: map[string]*record{}, changed: map[string]chan struct{}{},
	}
	for _, option := range options {
		option(machine)
	}
	return machine
}

// Apply executes a command.
func (machine *Machine) Apply(_ scheduler.Index, body []byte) []byte {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	var asked command
	given := result{Kind: resultInvalid}
	if err := cbor.Unmarshal(body, &asked); err == nil {
		machine.advance(asked.Now)
		switch asked.Kind {
		case commandBegin:
			given = machine.begin(asked)
		case commandFinish:
			given = machine.finish(asked)
		case commandAlive:
			given = machine.alive(asked)
		}
	}
	encoded, err := cbor.Marshal(given)
	if err != nil {
		return nil
	}
	return encoded
}

// advance moves the clock, which never goes back, and sweeps now and then.
func (machine *Machine) advance(now int64) {
	machine.content.Clock = max(machine.content.Clock, now)
	if machine.content.Clock-machine.content.Swept >= sweepInterval {
		machine.sweep()
	}
}

func (machine *Machine) sweep() {
	machine.content.Swept = machine.content.Clock
	for _, found := range machine.records {
		if machine.expired(found) {
			machine.remove(found)
		}
	}
	machine.answers = slices.DeleteFunc(machine.answers, func(found *record) bool { return found.Finished == 0 })
}

// expired uses the same clock as tooOld, so a key with an issue time is refused once its record is gone.
func (machine *Machine) expired(found *record) bool {
	if issued, ok := issueTime(found.Key); ok && issued <= machine.content.Clock+futureLimit.Milliseconds() {
		return machine.tooOld(found.Key)
	}
	return machine.content.Clock-max(found.Used, found.Deadline) > keyLife.Milliseconds()
}

func (machine *Machine) tooOld(key string) bool {
	issued, ok := issueTime(key)
	return ok && machine.content.Clock-issued > keyLife.Milliseconds()
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

func (machine *Machine) begin(asked command) result {
	if asked.Key == "" || len(asked.Key) > MaxKeyLength || len(asked.Attempt) == 0 || len(asked.Digest) > 64 {
		return result{Kind: resultInvalid}
	}
	found := machine.records[asked.Key]
	if found != nil && machine.expired(found) {
		machine.remove(found)
		found = nil
	}
	if found != nil {
		return machine.repeat(found, asked)
	}
	if machine.tooOld(asked.Key) {
		return result{Kind: resultUnknown}
	}
	if machine.content.Clock > asked.Deadline || asked.Life < machine.content.Lives[asked.VM] {
		// The proposal was delayed; its gateway no longer waits for it.
		return result{Kind: resultLate}
	}
	if len(machine.records) >= machine.recordLimit && machine.content.Clock-machine.content.Swept >= fullSweepInterval {
		machine.sweep()
	}
	if len(machine.records) >= machine.recordLimit {
		return result{Kind: resultFull}
	}
	machine.records[asked.Key] = &record{
		Key: asked.Key, Digest: asked.Digest, Attempt: asked.Attempt, VM: asked.VM, Life: asked.Life,
		Deadline: min(asked.Deadline, machine.content.Clock+keyLife.Milliseconds()), Used: machine.content.Clock, State: stateRunning,
	}
	return result{Kind: resultRun}
}

// repeat answers a begin for a key that is known.
func (machine *Machine) repeat(found *record, asked command) result {
	if !bytes.Equal(found.Digest, asked.Digest) {
		return result{Kind: resultConflict}
	}
	found.Used = machine.content.Clock
	if found.State == stateRunning && bytes.Equal(found.Attempt, asked.Attempt) {
		return result{Kind: resultRun}
	}
	if found.State == stateRunning && machine.content.Clock > found.Deadline+graceAfterDeadline.Milliseconds() {
		machine.settle(found, stateUnknown)
	}
	switch {
	case found.State == stateRunning:
		return result{Kind: resultRunning}
	case found.State == stateDone && !found.Answer.Truncated:
		return result{Kind: resultAnswered, Answer: found.Answer}
	default:
		return result{Kind: resultUnknown}
	}
}

// finish records the outcome of an attempt. An attempt that counts as unknown because its gateway was
// slow or believed gone may still report what happened.
func (machine *Machine) finish(asked command) result {
	found := machine.records[asked.Key]
	if found == nil || !bytes.Equal(found.Attempt, asked.Attempt) || found.State == stateDone {
		return result{Kind: resultOK}
	}
	switch asked.Outcome {
	case scheduler.OutcomeNotRun:
		machine.remove(found)
	case scheduler.OutcomeDone:
		machine.keep(found, asked.Answer)
		machine.settle(found, stateDone)
	default:
		machine.settle(found, stateUnknown)
	}
	return result{Kind: resultOK}
}

// alive states that a VM's gateway has begun a new life: what its earlier lives were running is unknown.
func (machine *Machine) alive(asked command) result {
	if asked.Life <= machine.content.Lives[asked.VM] {
		return result{Kind: resultOK}
	}
	machine.content.Lives[asked.VM] = asked.Life
	for _, found := range machine.records {
		if found.VM == asked.VM && found.Life < asked.Life && found.State == stateRunning {
			machine.settle(found, stateUnknown)
		}
	}
	return result{Kind: resultOK}
}

// keep stores an answer and drops the bodies of the oldest answers when there are too many. A resend of
// those is answered as unknown.
func (machine *Machine) keep(found *record, answer scheduler.StoredResponse) {
	size := len(answer.Body)
	for name, value := range answer.Header {
		size += len(name) + len(value)
	}
	if answer.Truncated || len(answer.Body) > answerLimit || size-len(answer.Body) > headerLimit {
		found.Answer = scheduler.StoredResponse{Status: answer.Status, Truncated: true}
		return
	}
	machine.content.Sequence++
	found.Answer, found.Finished = answer, machine.content.Sequence
	machine.answers = append(machine.answers, found)
	machine.bytes += answerSize(found)
	for machine.bytes > machine.answerBytes && len(machine.answers) > 0 {
		machine.dropAnswer(machine.answers[0])
		machine.answers = machine.answers[1:]
	}
}

// answerSize counts a record's answer with what it takes besides the body.
func answerSize(found *record) int {
	size := 64 + len(found.Answer.Body)
	for name, value := range found.Answer.Header {
		size += len(name) + len(value)
	}
	return size
}

func (machine *Machine) dropAnswer(found *record) {
	if found.Finished == 0 {
		return
	}
	machine.bytes -= answerSize(found)
	found.Finished = 0
	found.Answer = scheduler.StoredResponse{Status: found.Answer.Status, Truncated: true}
}

func (machine *Machine) settle(found *record, settled state) {
	found.State, found.Used = settled, machine.content.Clock
	machine.wake(found.Key)
}

func (machine *Machine) remove(found *record) {
	machine.dropAnswer(found)
	delete(machine.records, found.Key)
	machine.wake(found.Key)
}

func (machine *Machine) wake(key string) {
	if waiting, ok := machine.changed[key]; ok {
		close(waiting)
		delete(machine.changed, key)
	}
}

// Changed returns a channel that is closed when the key is no longer running on this replica. It is
// closed already when the key is not running here.
func (machine *Machine) Changed(key string) <-chan struct{} {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if found := machine.records[key]; found == nil || found.State != stateRunning {
		settled := make(chan struct{})
		close(settled)
		return settled
	}
	if machine.changed[key] == nil {
		machine.changed[key] = make(chan struct{})
	}
	return machine.changed[key]
}

// Snapshot writes the whole state to w.
func (machine *Machine) Snapshot(w io.Writer) error {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	machine.content.Records = nil
	for _, key := range slices.Sorted(maps.Keys(machine.records)) {
		machine.content.Records = append(machine.content.Records, machine.records[key])
	}
	err := cbor.NewEncoder(w).Encode(machine.content)
	machine.content.Records = nil
	return Error.Wrap(err)
}

// Restore replaces the state by one that Snapshot wrote.
func (machine *Machine) Restore(r io.Reader) error {
	var restored content
	// The default limit of the codec is below what a full table needs.
	mode, err := cbor.DecOptions{MaxArrayElements: 2 * max(machine.recordLimit, 1<<17)}.DecMode()
	if err != nil {
		return Error.Wrap(err)
	}
	if err := mode.NewDecoder(r).Decode(&restored); err != nil {
		return Error.Wrap(err)
	}
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	machine.records, machine.answers, machine.bytes = map[string]*record{}, nil, 0
	for _, found := range restored.Records {
		machine.records[found.Key] = found
		if found.Finished > 0 {
			machine.answers = append(machine.answers, found)
			machine.bytes += answerSize(found)
		}
	}
	slices.SortFunc(machine.answers, func(a, b *record) int { return cmp.Compare(a.Finished, b.Finished) })
	restored.Records = nil
	if restored.Lives == nil {
		restored.Lives = map[scheduler.VMName]scheduler.Incarnation{}
	}
	machine.content = restored
	for key := range machine.changed {
		machine.wake(key)
	}
	return nil
}
