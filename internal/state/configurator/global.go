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
	// maxDecisions bounds the number of change IDs that are kept to detect retries. At 230 changes a
	// day it covers 17 days, far longer than an operator's tool retries.
	maxDecisions = 4096
	// maxDecisionFaults bounds the faults that are stored with a refused change.
	maxDecisionFaults = 20
	// maxHistoryRevisions bounds the history. It covers about two days at 230 changes a day.
	maxHistoryRevisions = 512
	// maxHistoryBytes bounds the history if revisions replace large parts of the inventory.
	maxHistoryBytes = 4 << 20
	// maxAuditRecords bounds the records that are kept in the state for the audit trail to read.
	maxAuditRecords = 1024
)

// GlobalMachine is the state machine of the global group. It holds the accepted configuration and its
// history. Apply and Restore are called by the group; the other methods are safe for concurrent use.
type GlobalMachine struct {
	auditHandler func(AuditRecord)

	mutex        sync.RWMutex
	revision     scheduler.Revision
	document     *scheduler.Configuration
	history      []HistoryEntry
	historyBytes int
	decisions    map[changeKey]decision
	changeOrder  []changeKey
	auditRecords []AuditRecord
	notifier     notifier
}

// changeKey identifies a change. It includes the operator, because two operators may choose the same ID.
type changeKey struct {
	Operator string `cbor:"operator"`
	ID       string `cbor:"id"`
}

// decision is the stored first result of a change, which answers retries.
type decision struct {
	Fingerprint []byte       `cbor:"fingerprint"`
	Result      ChangeResult `cbor:"result"`
}

// HistoryEntry describes one accepted revision. It is a wire type.
type HistoryEntry struct {
	Revision    scheduler.Revision `json:"revision" cbor:"revision"`
	Operator    string             `json:"operator" cbor:"operator"`
	ID          string             `json:"id" cbor:"id"`
	AtUnixMilli int64              `json:"at" cbor:"at"`
	RollForward scheduler.Revision `json:"rollForward,omitempty" cbor:"rollForward,omitempty"`
	// Undo is the encoded Delta from this revision to the previous one. It stays encoded because it is
	// rarely read.
	Undo []byte `json:"-" cbor:"undo"`
}

// AuditRecord records one decision on a change. It is a wire type.
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

// WithAuditHandler sets a function that receives each audit record while its entry is applied. It must
// not block. After a restart it receives the records of replayed entries again; duplicates have the
// same index.
func WithAuditHandler(handler func(AuditRecord)) GlobalOption {
	return func(globalMachine *GlobalMachine) { globalMachine.auditHandler = handler }
}

// NewGlobalMachine returns an empty state machine for the global group.
func NewGlobalMachine(options ...GlobalOption) *GlobalMachine {
	globalMachine := &GlobalMachine{
		auditHandler: func(AuditRecord) {}, document: &scheduler.Configuration{}, decisions: map[changeKey]decision{},
	}
	for _, option := range options {
		option(globalMachine)
	}
	return globalMachine
}

// Apply accepts or rejects an encoded Change and returns an encoded ChangeResult.
func (globalMachine *GlobalMachine) Apply(index scheduler.Index, command []byte) []byte {
	var change Change
	if err := encoder.Unmarshal(command, &change); err != nil {
		return mustMarshal(ChangeResult{Outcome: ChangeRefused, Reason: "unreadable change: " + err.Error()})
	}
	globalMachine.mutex.Lock()
	defer globalMachine.mutex.Unlock()
	result := globalMachine.decide(&change)
	if !result.Repeated {
		globalMachine.addAuditRecord(index, &change, result)
	}
	return mustMarshal(result)
}

func mustMarshal(value any) []byte {
	encoded, err := encoder.Marshal(value)
	if err != nil {
		panic(err) // The types that are passed here have no field that fails to encode.
	}
	return encoded
}

// decide returns the stored result for a retry and evaluates any other change.
func (globalMachine *GlobalMachine) decide(change *Change) ChangeResult {
	if reason := change.validate(); reason != "" {
		return ChangeResult{Outcome: ChangeRefused, Revision: globalMachine.revision, Reason: reason}
	}
	key := changeKey{Operator: change.Operator, ID: change.ID}
	fingerprint := change.fingerprint()
	if first, ok := globalMachine.decisions[key]; ok {
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
	globalMachine.storeDecision(key, fingerprint, result)
	return result
}

func (globalMachine *GlobalMachine) accept(change *Change) ChangeResult {
	if change.Base != globalMachine.revision {
		return ChangeResult{
			Outcome: ChangeConflict, Revision: globalMachine.revision,
			Reason: "the base is not the current revision",
		}
	}
	document, reason := globalMachine.requestedDocument(change)
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
	globalMachine.addHistoryEntry(HistoryEntry{
		Revision: globalMachine.revision, Operator: change.Operator, ID: change.ID,
		AtUnixMilli: change.AtUnixMilli, RollForward: change.RollForward, Undo: mustMarshal(undo),
	})
	globalMachine.notifier.notify()
	return ChangeResult{Outcome: ChangeAccepted, Revision: globalMachine.revision}
}

func (globalMachine *GlobalMachine) addHistoryEntry(entry HistoryEntry) {
	globalMachine.history = append(globalMachine.history, entry)
	globalMachine.historyBytes += len(entry.Undo)
	for len(globalMachine.history) > maxHistoryRevisions ||
		globalMachine.historyBytes > maxHistoryBytes && len(globalMachine.history) > 1 {
		globalMachine.historyBytes -= len(globalMachine.history[0].Undo)
		globalMachine.history = globalMachine.history[1:]
	}
}

func (globalMachine *GlobalMachine) storeDecision(key changeKey, fingerprint []byte, result ChangeResult) {
	result.Faults = result.Faults[:min(len(result.Faults), maxDecisionFaults)]
	globalMachine.decisions[key] = decision{Fingerprint: fingerprint, Result: result}
	globalMachine.changeOrder = append(globalMachine.changeOrder, key)
	if len(globalMachine.changeOrder) > maxDecisions {
		delete(globalMachine.decisions, globalMachine.changeOrder[0])
		globalMachine.changeOrder = globalMachine.changeOrder[1:]
	}
}

func (globalMachine *GlobalMachine) addAuditRecord(index scheduler.Index, change *Change, result ChangeResult) {
	record := AuditRecord{
		Index: index, AtUnixMilli: change.AtUnixMilli, Operator: change.Operator, ID: change.ID,
		Base: change.Base, Outcome: result.Outcome, Revision: result.Revision, Reason: result.Reason,
	}
	globalMachine.auditHandler(record)
	globalMachine.auditRecords = append(globalMachine.auditRecords, record)
	globalMachine.auditRecords = globalMachine.auditRecords[max(0, len(globalMachine.auditRecords)-maxAuditRecords):]
}

// Current returns the accepted revision and its document, which must not be modified.
func (globalMachine *GlobalMachine) Current() (scheduler.Revision, *scheduler.Configuration) {
	globalMachine.mutex.RLock()
	defer globalMachine.mutex.RUnlock()
	return globalMachine.revision, globalMachine.document
}

// History returns the retained revisions, oldest first.
func (globalMachine *GlobalMachine) History() []HistoryEntry {
	globalMachine.mutex.RLock()
	defer globalMachine.mutex.RUnlock()
	return append([]HistoryEntry(nil), globalMachine.history...)
}

// AuditRecords returns the retained records of entries after the given index, oldest first.
func (globalMachine *GlobalMachine) AuditRecords(after scheduler.Index) []AuditRecord {
	globalMachine.mutex.RLock()
	defer globalMachine.mutex.RUnlock()
	for i, record := range globalMachine.auditRecords {
		if record.Index > after {
			return append([]AuditRecord(nil), globalMachine.auditRecords[i:]...)
		}
	}
	return nil
}

// DocumentAt returns the document of a revision. ok is false if the revision is not in the history.
func (globalMachine *GlobalMachine) DocumentAt(
	revision scheduler.Revision,
) (document *scheduler.Configuration, ok bool) {
	globalMachine.mutex.RLock()
	defer globalMachine.mutex.RUnlock()
	return globalMachine.documentAt(revision)
}

// documentAt applies the undo deltas of all later revisions, newest first. Revision 0 is the empty
// document.
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

// Subscribe returns a subscription that is notified of accepted revisions and of Restore.
func (globalMachine *GlobalMachine) Subscribe() *Subscription {
	return globalMachine.notifier.subscribe()
}

// globalState is the snapshot format. Order is the eviction order of the decisions; Decisions has the
// same order.
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
		Order: globalMachine.changeOrder, Audit: globalMachine.auditRecords,
	}
	for _, key := range globalMachine.changeOrder {
		state.Decisions = append(state.Decisions, globalMachine.decisions[key])
	}
	return Error.Wrap(encoder.NewEncoder(w).Encode(state))
}

// Restore replaces the state with a snapshot. An empty reader restores the initial state.
func (globalMachine *GlobalMachine) Restore(r io.Reader) error {
	state := globalState{Document: &scheduler.Configuration{}}
	if err := decodeState(r, &state); err != nil {
		return err
	}
	if len(state.Order) != len(state.Decisions) {
		return Error.New("inconsistent snapshot: %d change IDs but %d decisions", len(state.Order), len(state.Decisions))
	}
	globalMachine.mutex.Lock()
	defer globalMachine.mutex.Unlock()
	globalMachine.revision, globalMachine.document, globalMachine.history = state.Revision, state.Document, state.History
	globalMachine.changeOrder, globalMachine.auditRecords, globalMachine.historyBytes = state.Order, state.Audit, 0
	globalMachine.decisions = make(map[changeKey]decision, len(state.Order))
	for i, key := range state.Order {
		globalMachine.decisions[key] = state.Decisions[i]
	}
	for _, entry := range globalMachine.history {
		globalMachine.historyBytes += len(entry.Undo)
	}
	globalMachine.notifier.notify()
	return nil
}
