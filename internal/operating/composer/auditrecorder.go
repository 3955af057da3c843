package composer

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/internal/operating/auditor"
	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	recordInterval = time.Second
	auditFolder    = "audit"
	// readBatch is how many records are read at once to find out where the trail stands.
	readBatch = 1000
)

// recorder copies the decisions of the replicated state machines into the VM's audit trail. The
// machines keep their latest decisions, so that a VM which was down catches up.
type recorder struct {
	trail *auditor.Trail
	log   zerolog.Logger
	last  map[scheduler.GroupName]position
}

// position is how far a group's decisions are recorded. One log entry may hold several decisions; count
// of those at index are recorded.
type position struct {
	index scheduler.Index
	count int
}

// add counts one more recorded decision.
func (position position) add(index scheduler.Index) position {
	if index != position.index {
		position.index, position.count = index, 0
	}
	position.count++
	return position
}

// unrecorded returns the decisions that follow a position. after returns those of entries after an index.
func unrecorded[Record any](position position, after func(index scheduler.Index) []Record, indexOf func(record Record) scheduler.Index) []Record {
	if position.index == 0 {
		return after(0)
	}
	records := after(position.index - 1)
	skipped := 0
	for skipped < position.count && skipped < len(records) && indexOf(records[skipped]) == position.index {
		skipped++
	}
	return records[skipped:]
}

func openRecorder(dataFolder string, log zerolog.Logger) (*recorder, error) {
	trail, err := auditor.Open(filepath.Join(dataFolder, auditFolder))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	recorder := &recorder{trail: trail, log: log, last: map[scheduler.GroupName]position{}}
	if err := recorder.findLast(); err != nil {
		_ = trail.Close()
		return nil, err
	}
	return recorder, nil
}

// findLast reads the log positions that the trail's records begin with.
func (recorder *recorder) findLast() error {
	next := uint64(1)
	for {
		records, following, err := recorder.trail.Read(next, readBatch)
		if err != nil {
			return Error.Wrap(err)
		}
		if len(records) == 0 {
			return nil
		}
		for _, record := range records {
			if group, index, ok := parsePosition(record.Detail); ok {
				recorder.last[group] = recorder.last[group].add(index)
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

// run records until ctx ends.
func (recorder *recorder) run(ctx context.Context, home scheduler.GroupName, global *configurator.Global, jobs *dispatcher.Machine) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		err := recorder.recordChanges(global)
		if err == nil {
			err = recorder.recordJobs(home, jobs)
		}
		if err != nil {
			// A failed trail stays failed, so retrying every second would only fill the log.
			recorder.log.Error().Str("event", "auditFailed").Err(err).Msg("the audit trail takes no further records")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (recorder *recorder) recordChanges(global *configurator.Global) error {
	for _, record := range unrecorded(recorder.last[scheduler.GlobalGroup], global.AuditRecords, changeIndex) {
		err := recorder.append(scheduler.GlobalGroup, record.Index, scheduler.AuditRecord{
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

func (recorder *recorder) recordJobs(home scheduler.GroupName, jobs *dispatcher.Machine) error {
	for _, record := range unrecorded(recorder.last[home], jobs.AuditRecords, jobIndex) {
		who := record.Actor
		if who == "" {
			who = "scheduler"
		}
		err := recorder.append(home, record.Index, scheduler.AuditRecord{
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

// append stores a record that begins with its position in the group's log.
func (recorder *recorder) append(group scheduler.GroupName, index scheduler.Index, record scheduler.AuditRecord) error {
	record.Detail = strings.TrimSpace(formatPosition(group, index) + " " + record.Detail)
	if _, err := recorder.trail.Append(record); err != nil {
		return Error.Wrap(err)
	}
	recorder.last[group] = recorder.last[group].add(index)
	return nil
}
