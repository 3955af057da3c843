package composer

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/internal/operating/auditor"
	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	auditPollInterval = time.Second
	auditFolder       = "audit"
	// readBatchSize is the number of records per read while the trail is scanned at startup.
	readBatchSize = 1000
)

// auditRecorder copies the decisions of the replicated state machines into the VM's audit trail. The state machines
// retain their latest decisions, so that a VM that was down can catch up.
type auditRecorder struct {
	trail     *auditor.Trail
	log       zerolog.Logger
	positions map[scheduler.GroupName]logPosition
}

// logPosition is the position in a group's log up to which decisions have been recorded. A log entry may contain
// several decisions; count is the number of recorded decisions of the entry at index.
type logPosition struct {
	index scheduler.Index
	count int
}

// advance returns the position after recording one more decision of the log entry at index.
func (logPosition logPosition) advance(index scheduler.Index) logPosition {
	if index != logPosition.index {
		logPosition.index, logPosition.count = index, 0
	}
	logPosition.count++
	return logPosition
}

// unrecordedDecisions returns the decisions that follow a position. after must return the decisions of all log
// entries with a higher index than the given one.
func unrecordedDecisions[Record any](
	logPosition logPosition, after func(index scheduler.Index) []Record, indexOf func(record Record) scheduler.Index,
) []Record {
	if logPosition.index == 0 {
		return after(0)
	}
	records := after(logPosition.index - 1)
	skipped := 0
	for skipped < logPosition.count && skipped < len(records) && indexOf(records[skipped]) == logPosition.index {
		skipped++
	}
	return records[skipped:]
}

func openAuditRecorder(dataFolder string, log zerolog.Logger) (*auditRecorder, error) {
	trail, err := auditor.Open(filepath.Join(dataFolder, auditFolder))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	auditRecorder := &auditRecorder{trail: trail, log: log}
	if err := auditRecorder.recoverPositions(); err != nil {
		_ = trail.Close()
		return nil, err
	}
	return auditRecorder, nil
}

// recoverPositions restores the positions from the audit trail. The detail of each copied record starts with its
// position.
func (auditRecorder *auditRecorder) recoverPositions() error {
	auditRecorder.positions = map[scheduler.GroupName]logPosition{}
	next := uint64(1)
	for {
		records, following, err := auditRecorder.trail.Read(next, readBatchSize)
		if err != nil {
			return Error.Wrap(err)
		}
		if len(records) == 0 {
			return nil
		}
		for _, record := range records {
			if group, index, ok := parsePosition(record.Detail); ok {
				auditRecorder.positions[group] = auditRecorder.positions[group].advance(index)
			}
		}
		next = following
	}
}

func formatPosition(group scheduler.GroupName, index scheduler.Index) string {
	return fmt.Sprintf("%s/%d", group, index)
}

func parsePosition(detail string) (scheduler.GroupName, scheduler.Index, bool) {
	position, _, _ := strings.Cut(detail, " ")
	group, number, found := strings.Cut(position, "/")
	var index scheduler.Index
	if _, err := fmt.Sscan(number, &index); !found || err != nil {
		return "", 0, false
	}
	return scheduler.GroupName(group), index, true
}

// resume makes a trail that has refused a record accept records again. The refused record may have been stored, so the
// positions are restored from what the trail contains.
func (auditRecorder *auditRecorder) resume() error {
	err := auditRecorder.trail.Reopen()
	if err == nil {
		err = auditRecorder.recoverPositions()
	}
	var corruption *auditor.CorruptionError
	if errors.As(err, &corruption) {
		return supervisor.Permanent.Wrap(Error.Wrap(err))
	}
	return Error.Wrap(err)
}

// run copies new decisions every auditPollInterval until ctx ends or the audit trail refuses a record. It can be run
// again after a refusal.
func (auditRecorder *auditRecorder) run(
	ctx context.Context, localGroup scheduler.GroupName, global *configurator.GlobalMachine, jobs *dispatcher.Machine,
) error {
	if err := auditRecorder.resume(); err != nil {
		return err
	}
	ticker := time.NewTicker(auditPollInterval)
	defer ticker.Stop()
	for {
		err := auditRecorder.recordConfigurationChanges(global)
		if err == nil {
			err = auditRecorder.recordJobDecisions(localGroup, jobs)
		}
		if err == nil {
			// Another goroutine, which records refused requests, may have met the failure.
			err = Error.Wrap(auditRecorder.trail.Err())
		}
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (auditRecorder *auditRecorder) recordConfigurationChanges(global *configurator.GlobalMachine) error {
	for _, record := range unrecordedDecisions(
		auditRecorder.positions[scheduler.GlobalGroup], global.AuditRecords, changeIndex,
	) {
		err := auditRecorder.append(scheduler.GlobalGroup, record.Index, scheduler.AuditRecord{
			Time: time.UnixMilli(record.AtUnixMilli), Who: record.Operator, Action: "config.apply",
			Base: uint64(record.Base), ChangeID: record.ID, Outcome: auditOutcome(record.Outcome == configurator.ChangeAccepted),
			Detail: fmt.Sprintf("%s, revision %d %s", record.Outcome, record.Revision, record.Reason),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (auditRecorder *auditRecorder) recordJobDecisions(localGroup scheduler.GroupName, jobs *dispatcher.Machine) error {
	for _, record := range unrecordedDecisions(auditRecorder.positions[localGroup], jobs.AuditRecords, jobIndex) {
		who := record.Actor
		if who == "" {
			who = "scheduler"
		}
		err := auditRecorder.append(localGroup, record.Index, scheduler.AuditRecord{
			Time: time.UnixMilli(record.AtUnixMilli), Who: who, Action: record.Action,
			Outcome: auditOutcome(record.Outcome != dispatcher.ResultRefused),
			Detail:  strings.TrimSpace(record.Subject + " " + record.Reason),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func changeIndex(record configurator.AuditRecord) scheduler.Index { return record.Index }

func jobIndex(record dispatcher.AuditRecord) scheduler.Index { return record.Index }

func auditOutcome(accepted bool) scheduler.AuditOutcome {
	if accepted {
		return scheduler.AuditAccepted
	}
	return scheduler.AuditRefused
}

// append appends a record whose detail starts with its position in the group's log.
func (auditRecorder *auditRecorder) append(
	group scheduler.GroupName, index scheduler.Index, record scheduler.AuditRecord,
) error {
	record.Detail = strings.TrimSpace(formatPosition(group, index) + " " + record.Detail)
	if _, err := auditRecorder.trail.Append(record); err != nil {
		return Error.Wrap(err)
	}
	auditRecorder.positions[group] = auditRecorder.positions[group].advance(index)
	return nil
}
