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

// Global is the state machine of the global group: the accepted configuration and its history.
// Apply and Restore are called by the group; the other methods are safe for concurrent use.
type Global struct {
	auditor func(AuditRecord)

	mutex    sync.RWMutex
	revision scheduler.Revision
	document *scheduler.Configuration
	history  []Version
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

// Version is one accepted revision of the history. It is a wire type.
type Version struct {
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

var _ scheduler.StateMachine = (*Global)(nil)

// GlobalOption configures a Global.
type GlobalOption func(*Global)

// WithAuditor sets a function that gets each audit record while its entry is applied. It must not
// block. After a restart it gets the records of replayed entries again; their index tells them apart.
func WithAuditor(auditor func(AuditRecord)) GlobalOption {
	return func(global *Global) { global.auditor = auditor }
}

// NewGlobal returns an empty state machine for the global group.
func NewGlobal(options ...GlobalOption) *Global {
	global := &Global{
		auditor: func(AuditRecord) {}, document: &scheduler.Configuration{}, changes: map[changeKey]decision{},
	}
	for _, option := range options {
		option(global)
	}
	return global
}

// Apply decides on an encoded Change and returns an encoded ChangeResult.
func (global *Global) Apply(index scheduler.Index, command []byte) []byte {
	var change Change
	if err := encoder.Unmarshal(command, &change); err != nil {
		return encodeResult(ChangeResult{Outcome: ChangeRefused, Reason: "unreadable change: " + err.Error()})
	}
	global.mutex.Lock()
	defer global.mutex.Unlock()
	result := global.decide(&change)
	if !result.Repeated {
		global.record(index, &change, result)
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
func (global *Global) decide(change *Change) ChangeResult {
	if reason := change.check(); reason != "" {
		return ChangeResult{Outcome: ChangeRefused, Revision: global.revision, Reason: reason}
	}
	key := changeKey{Operator: change.Operator, ID: change.ID}
	fingerprint := change.fingerprint()
	if first, ok := global.changes[key]; ok {
		if !bytes.Equal(first.Fingerprint, fingerprint) {
			return ChangeResult{
				Outcome: ChangeRefused, Revision: global.revision,
				Reason: "the change ID was used for another change",
			}
		}
		result := first.Result
		result.Repeated = true
		return result
	}
	result := global.accept(change)
	global.remember(key, fingerprint, result)
	return result
}

func (global *Global) accept(change *Change) ChangeResult {
	if change.Base != global.revision {
		return ChangeResult{
			Outcome: ChangeConflict, Revision: global.revision,
			Reason: "the base is not the current revision",
		}
	}
	document, reason := global.wanted(change)
	if reason != "" {
		return ChangeResult{Outcome: ChangeRefused, Revision: global.revision, Reason: reason}
	}
	if faults := Validate(document); len(faults) > 0 {
		return ChangeResult{
			Outcome: ChangeRefused, Revision: global.revision,
			Reason: "the document has faults", Faults: faults,
		}
	}
	document = Normalise(document)
	undo, err := NewDelta(document, global.document)
	if err != nil {
		return ChangeResult{Outcome: ChangeRefused, Revision: global.revision, Reason: err.Error()}
	}
	global.revision++
	global.document = document
	global.addVersion(Version{
		Revision: global.revision, Operator: change.Operator, ID: change.ID,
		AtUnixMilli: change.AtUnixMilli, RollForward: change.RollForward, Undo: encodeResult(undo),
	})
	global.notifier.notify()
	return ChangeResult{Outcome: ChangeAccepted, Revision: global.revision}
}

func (global *Global) addVersion(version Version) {
	global.history = append(global.history, version)
	global.bytes += len(version.Undo)
	for len(global.history) > keptRevisions || global.bytes > keptHistoryBytes && len(global.history) > 1 {
		global.bytes -= len(global.history[0].Undo)
		global.history = global.history[1:]
	}
}

func (global *Global) remember(key changeKey, fingerprint []byte, result ChangeResult) {
	result.Faults = result.Faults[:min(len(result.Faults), rememberedFaults)]
	global.changes[key] = decision{Fingerprint: fingerprint, Result: result}
	global.order = append(global.order, key)
	if len(global.order) > rememberedChanges {
		delete(global.changes, global.order[0])
		global.order = global.order[1:]
	}
}

func (global *Global) record(index scheduler.Index, change *Change, result ChangeResult) {
	record := AuditRecord{
		Index: index, AtUnixMilli: change.AtUnixMilli, Operator: change.Operator, ID: change.ID,
		Base: change.Base, Outcome: result.Outcome, Revision: result.Revision, Reason: result.Reason,
	}
	global.auditor(record)
	global.audit = append(global.audit, record)
	global.audit = global.audit[max(0, len(global.audit)-keptAudit):]
}

// Current returns the accepted revision and its document, which must not be modified.
func (global *Global) Current() (scheduler.Revision, *scheduler.Configuration) {
	global.mutex.RLock()
	defer global.mutex.RUnlock()
	return global.revision, global.document
}

// History returns the kept revisions, oldest first.
func (global *Global) History() []Version {
	global.mutex.RLock()
	defer global.mutex.RUnlock()
	return append([]Version(nil), global.history...)
}

// AuditRecords returns the kept records of entries after index, oldest first.
func (global *Global) AuditRecords(after scheduler.Index) []AuditRecord {
	global.mutex.RLock()
	defer global.mutex.RUnlock()
	for i, record := range global.audit {
		if record.Index > after {
			return append([]AuditRecord(nil), global.audit[i:]...)
		}
	}
	return nil
}

// DocumentAt returns the document of a revision. ok is false when it is not in the history.
func (global *Global) DocumentAt(revision scheduler.Revision) (document *scheduler.Configuration, ok bool) {
	global.mutex.RLock()
	defer global.mutex.RUnlock()
	return global.documentAt(revision)
}

// documentAt undoes the later revisions one after another. Revision 0 is the empty document.
func (global *Global) documentAt(revision scheduler.Revision) (*scheduler.Configuration, bool) {
	if revision > global.revision || uint64(global.revision-revision) > uint64(len(global.history)) {
		return nil, false
	}
	document := global.document
	for i := len(global.history) - 1; i >= 0 && global.history[i].Revision > revision; i-- {
		var undo Delta
		if err := encoder.Unmarshal(global.history[i].Undo, &undo); err != nil {
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
func (global *Global) Subscribe() *Subscription { return global.notifier.subscribe() }

// globalState is the form of the state in a snapshot. Lists keep their order.
type globalState struct {
	Revision  scheduler.Revision       `cbor:"revision"`
	Document  *scheduler.Configuration `cbor:"document"`
	History   []Version                `cbor:"history"`
	Order     []changeKey              `cbor:"order"`
	Decisions []decision               `cbor:"decisions"`
	Audit     []AuditRecord            `cbor:"audit"`
}

// Snapshot writes the whole state.
func (global *Global) Snapshot(w io.Writer) error {
	global.mutex.RLock()
	defer global.mutex.RUnlock()
	state := globalState{
		Revision: global.revision, Document: global.document, History: global.history,
		Order: global.order, Audit: global.audit,
	}
	for _, key := range global.order {
		state.Decisions = append(state.Decisions, global.changes[key])
	}
	return Error.Wrap(encoder.NewEncoder(w).Encode(state))
}

// Restore replaces the state. An empty reader restores the empty state.
func (global *Global) Restore(r io.Reader) error {
	state := globalState{Document: &scheduler.Configuration{}}
	if err := decodeState(r, &state); err != nil {
		return err
	}
	if len(state.Order) != len(state.Decisions) {
		return Error.New("snapshot has %d change IDs and %d decisions", len(state.Order), len(state.Decisions))
	}
	global.mutex.Lock()
	defer global.mutex.Unlock()
	global.revision, global.document, global.history = state.Revision, state.Document, state.History
	global.order, global.audit, global.bytes = state.Order, state.Audit, 0
	global.changes = make(map[changeKey]decision, len(state.Order))
	for i, key := range state.Order {
		global.changes[key] = state.Decisions[i]
	}
	for _, version := range global.history {
		global.bytes += len(version.Undo)
	}
	global.notifier.notify()
	return nil
}
