package configurator

import (
	"bytes"
	"io"
	"sync"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	maxIDLength = 128
	// rememberedChanges bounds the memory of change IDs. At 230 changes a day it covers 17 days,
	// far more than an operator's tool keeps resending.
	rememberedChanges = 4096
	// rememberedFaults bounds what a remembered refusal keeps of a document with many faults.
	rememberedFaults = 20
	// keptRevisions bounds the history to about two days at 230 changes a day.
	keptRevisions = 512
	// keptHistoryBytes bounds the history when revisions replace large parts of the inventory.
	keptHistoryBytes = 4 << 20
	// keptAudit bounds the audit records that wait in the state for the audit trail.
	keptAudit = 1024
)

// GlobalMachine is the state machine of the global group: the accepted configuration and its history.
// Apply and Restore are called by the group; the other methods are safe for concurrent use.
type GlobalMachine struct {
	auditor func(AuditRecord)

	mutex    sync.RWMutex
	revision scheduler.Revision
	document *scheduler.Configuration
	history  []HistoryEntry
	bytes    int
	changes  map[changeKey]decision
	order    []changeKey
	audit    []AuditRecord
	notifier notifier
}

// changeKey keeps two operators who happen to choose the same ID apart.
type changeKey struct {
	Operator string `cbor:"operator"`
	ID       string `cbor:"id"`
}

// decision is the remembered first outcome of a change.
type decision struct {
	Fingerprint []byte       `cbor:"fingerprint"`
	Result      ChangeResult `cbor:"result"`
}

// HistoryEntry is one accepted revision of the history. It is a wire type.
type HistoryEntry struct {
	Revision    scheduler.Revision `json:"revision" cbor:"revision"`
	Operator    string             `json:"operator" cbor:"operator"`
	ID          string             `json:"id" cbor:"id"`
	AtUnixMilli int64              `json:"at" cbor:"at"`
	RollForward scheduler.Revision `json:"rollForward,omitempty" cbor:"rollForward,omitempty"`
	// Undo turns this revision into the one before. Kept encoded, since it is rarely read.
	Undo []byte `json:"-" cbor:"undo"`
}

// AuditRecord is the record of one decision on a change. It is a wire type.
type AuditRecord struct {
	Index       scheduler.Index    `json:"index" cbor:"index"`
	AtUnixMilli int64              `json:"at" cbor:"at"`
	Operator    string             `json:"operator" cbor:"operator"`
	ID          string             `json:"id" cbor:"id"`
	Base        scheduler.Revision `json:"base" cbor:"base"`
	Outcome     ChangeOutcome      `json:"outcome" cbor:"outcome"`
	Revision    scheduler.Revision `json:"revision" cbor:"revision"`
	Reason      string             `json:"reason,omitempty" cbor:"reason,omitempty"`
}

var _ scheduler.StateMachine = (*GlobalMachine)(nil)

// GlobalOption configures a Global.
type GlobalOption func(*GlobalMachine)

// WithAuditHandler sets a function that gets each audit record while its entry is applied. It must not
// block. After a restart it gets the records of replayed entries again; their index tells them apart.
func WithAuditHandler(auditor func(AuditRecord)) GlobalOption {
	return func(globalMachine *GlobalMachine) { globalMachine.auditor = auditor }
}

// NewGlobalMachine returns an empty state machine for the global group.
func NewGlobalMachine(options ...GlobalOption) *GlobalMachine {
	globalMachine := &GlobalMachine{
		auditor: func(AuditRecord) {}, document: &scheduler.Configuration{}, changes: map[changeKey]decision{},
	}
	for _, option := range options {
		option(globalMachine)
	}
	return globalMachine
}

// Apply decides on an encoded Change and returns an encoded ChangeResult.
func (globalMachine *GlobalMachine) Apply(index scheduler.Index, command []byte) []byte {
	var change Change
	if err := encoder.Unmarshal(command, &change); err != nil {
		return encodeResult(ChangeResult{Outcome: ChangeRefused, Reason: "unreadable change: " + err.Error()})
	}
	globalMachine.mutex.Lock()
	defer globalMachine.mutex.Unlock()
	result := globalMachine.decide(&change)
	if !result.Repeated {
		globalMachine.record(index, &change, result)
	}
	return encodeResult(result)
}

func encodeResult(result any) []byte {
	encoded, err := encoder.Marshal(result)
	if err != nil {
		panic(err) // The result types have no field that the encoder can refuse.
	}
	return encoded
}

// decide answers a resend from memory and any other change by its content.
func (globalMachine *GlobalMachine) decide(change *Change) ChangeResult {
	if reason := change.check(); reason != "" {
		return ChangeResult{Outcome: ChangeRefused, Revision: globalMachine.revision, Reason: reason}
	}
	key := changeKey{Operator: change.Operator, ID: change.ID}
	fingerprint := change.fingerprint()
	if first, ok := globalMachine.changes[key]; ok {
		if !bytes.Equal(first.Fingerprint, fingerprint) {
			return ChangeResult{
				Outcome: ChangeRefused, Revision: globalMachine.revision,
				Reason: "the change ID was used for another change",
			}
		}
		result := first.Result
		result.Repeated = true
		return result
	}
	result := globalMachine.accept(change)
	globalMachine.remember(key, fingerprint, result)
	return result
}

func (globalMachine *GlobalMachine) accept(change *Change) ChangeResult {
	if change.Base != globalMachine.revision {
		return ChangeResult{
			Outcome: ChangeConflict, Revision: globalMachine.revision,
			Reason: "the base is not the current revision",
		}
	}
	document, reason := globalMachine.wanted(change)
	if reason != "" {
		return ChangeResult{Outcome: ChangeRefused, Revision: globalMachine.revision, Reason: reason}
	}
	if faults := Validate(document); len(faults) > 0 {
		return ChangeResult{
			Outcome: ChangeRefused, Revision: globalMachine.revision,
			Reason: "the document has faults", Faults: faults,
		}
	}
	document = Normalise(document)
	undo, err := NewDelta(document, globalMachine.document)
	if err != nil {
		return ChangeResult{Outcome: ChangeRefused, Revision: globalMachine.revision, Reason: err.Error()}
	}
	globalMachine.revision++
	globalMachine.document = document
	globalMachine.addVersion(HistoryEntry{
		Revision: globalMachine.revision, Operator: change.Operator, ID: change.ID,
		AtUnixMilli: change.AtUnixMilli, RollForward: change.RollForward, Undo: encodeResult(undo),
	})
	globalMachine.notifier.notify()
	return ChangeResult{Outcome: ChangeAccepted, Revision: globalMachine.revision}
}

func (globalMachine *GlobalMachine) addVersion(version HistoryEntry) {
	globalMachine.history = append(globalMachine.history, version)
	globalMachine.bytes += len(version.Undo)
	for len(globalMachine.history) > keptRevisions || globalMachine.bytes > keptHistoryBytes && len(globalMachine.history) > 1 {
		globalMachine.bytes -= len(globalMachine.history[0].Undo)
		globalMachine.history = globalMachine.history[1:]
	}
}

func (globalMachine *GlobalMachine) remember(key changeKey, fingerprint []byte, result ChangeResult) {
	result.Faults = result.Faults[:min(len(result.Faults), rememberedFaults)]
	globalMachine.changes[key] = decision{Fingerprint: fingerprint, Result: result}
	globalMachine.order = append(globalMachine.order, key)
	if len(globalMachine.order) > rememberedChanges {
		delete(globalMachine.changes, globalMachine.order[0])
		globalMachine.order = globalMachine.order[1:]
	}
}

func (globalMachine *GlobalMachine) record(index scheduler.Index, change *Change, result ChangeResult) {
	record := AuditRecord{
		Index: index, AtUnixMilli: change.AtUnixMilli, Operator: change.Operator, ID: change.ID,
		Base: change.Base, Outcome: result.Outcome, Revision: result.Revision, Reason: result.Reason,
	}
	globalMachine.auditor(record)
	globalMachine.audit = append(globalMachine.audit, record)
	globalMachine.audit = globalMachine.audit[max(0, len(globalMachine.audit)-keptAudit):]
}

// Current returns the accepted revision and its document, which must not be modified.
func (globalMachine *GlobalMachine) Current() (scheduler.Revision, *scheduler.Configuration) {
	globalMachine.mutex.RLock()
	defer globalMachine.mutex.RUnlock()
	return globalMachine.revision, globalMachine.document
}

// History returns the kept revisions, oldest first.
func (globalMachine *GlobalMachine) History() []HistoryEntry {
	globalMachine.mutex.RLock()
	defer globalMachine.mutex.RUnlock()
	return append([]HistoryEntry(nil), globalMachine.history...)
}

// AuditRecords returns the kept records of entries after index, oldest first.
func (globalMachine *GlobalMachine) AuditRecords(after scheduler.Index) []AuditRecord {
	globalMachine.mutex.RLock()
	defer globalMachine.mutex.RUnlock()
	for i, record := range globalMachine.audit {
		if record.Index > after {
			return append([]AuditRecord(nil), globalMachine.audit[i:]...)
		}
	}
	return nil
}

// DocumentAt returns the document of a revision. ok is false when it is not in the history.
func (globalMachine *GlobalMachine) DocumentAt(revision scheduler.Revision) (document *scheduler.Configuration, ok bool) {
	globalMachine.mutex.RLock()
	defer globalMachine.mutex.RUnlock()
	return globalMachine.documentAt(revision)
}

// documentAt undoes the later revisions one after another. Revision 0 is the empty document.
func (globalMachine *GlobalMachine) documentAt(revision scheduler.Revision) (*scheduler.Configuration, bool) {
	if revision > globalMachine.revision || uint64(globalMachine.revision-revision) > uint64(len(globalMachine.history)) {
		return nil, false
	}
	document := globalMachine.document
	for i := len(globalMachine.history) - 1; i >= 0 && globalMachine.history[i].Revision > revision; i-- {
		var undo Delta
		if err := encoder.Unmarshal(globalMachine.history[i].Undo, &undo); err != nil {
			return nil, false
		}
		earlier, err := undo.Patch(document)
		if err != nil {
			return nil, false
		}
		document = earlier
	}
	return document, true
}

// Subscribe returns a subscription that is notified of every accepted revision.
func (globalMachine *GlobalMachine) Subscribe() *Subscription {
	return globalMachine.notifier.subscribe()
}

// globalState is the form of the state in a snapshot. Lists keep their order.
type globalState struct {
	Revision  scheduler.Revision       `cbor:"revision"`
	Document  *scheduler.Configuration `cbor:"document"`
	History   []HistoryEntry           `cbor:"history"`
	Order     []changeKey              `cbor:"order"`
	Decisions []decision               `cbor:"decisions"`
	Audit     []AuditRecord            `cbor:"audit"`
}

// Snapshot writes the whole state.
func (globalMachine *GlobalMachine) Snapshot(w io.Writer) error {
	globalMachine.mutex.RLock()
	defer globalMachine.mutex.RUnlock()
	state := globalState{
		Revision: globalMachine.revision, Document: globalMachine.document, History: globalMachine.history,
		Order: globalMachine.order, Audit: globalMachine.audit,
	}
	for _, key := range globalMachine.order {
		state.Decisions = append(state.Decisions, globalMachine.changes[key])
	}
	return Error.Wrap(encoder.NewEncoder(w).Encode(state))
}

// Restore replaces the state. An empty reader restores the empty state.
func (globalMachine *GlobalMachine) Restore(r io.Reader) error {
	state := globalState{Document: &scheduler.Configuration{}}
	if err := decodeState(r, &state); err != nil {
		return err
	}
	if len(state.Order) != len(state.Decisions) {
		return Error.New("snapshot has %d change IDs and %d decisions", len(state.Order), len(state.Decisions))
	}
	globalMachine.mutex.Lock()
	defer globalMachine.mutex.Unlock()
	globalMachine.revision, globalMachine.document, globalMachine.history = state.Revision, state.Document, state.History
	globalMachine.order, globalMachine.audit, globalMachine.bytes = state.Order, state.Audit, 0
	globalMachine.changes = make(map[changeKey]decision, len(state.Order))
	for i, key := range state.Order {
		globalMachine.changes[key] = state.Decisions[i]
	}
	for _, version := range globalMachine.history {
		globalMachine.bytes += len(version.Undo)
	}
	globalMachine.notifier.notify()
	return nil
}
