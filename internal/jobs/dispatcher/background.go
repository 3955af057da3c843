package dispatcher

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// reconcileInterval is the interval at which a leader compares the replicated inventory with the current configuration
// and retries unfinished moves. It bounds the time until a new leader detects an outdated inventory.
const reconcileInterval = time.Second

// ConfigurationSource returns the current configuration of the data centre. ok is false if it is unknown.
type ConfigurationSource func() (revision scheduler.Revision, document *scheduler.Configuration, ok bool)

// FollowInventory updates the replicated inventory to the current configuration until ctx ends. It runs on every VM
// and acts only on the leader. changed receives a value when the current configuration has changed; it may be nil.
func (engine *Engine) FollowInventory(
	ctx context.Context, configurationSource ConfigurationSource, changed <-chan struct{},
) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
		revision, document, ok := configurationSource()
		if !ok || !engine.isLeading() {
			continue
		}
		if err := engine.SetInventory(ctx, revision, document.Workers); err != nil && ctx.Err() == nil {
			engine.log.Warn().Str("event", "inventoryNotFollowed").Err(err).Uint64("revision", uint64(revision)).
				Msg("failed to update the inventory to the current configuration")
		}
	}
}

// isLeading reports whether this engine has taken over and this VM still leads.
func (engine *Engine) isLeading() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.mayAct(engine.term)
}

// Deliver proposes the Accept of a moved job at its destination. It returns an error unless the destination has
// accepted the job. Repeating a delivery has no effect.
type Deliver func(ctx context.Context, to scheduler.DataCentreName, record []byte) error

// MoveJobs delivers moved jobs to their destinations until ctx ends. It runs on every VM and acts only on the leader.
// A job whose delivery fails remains in state JobMoved and is delivered again. It is never returned to the source
// automatically, because the destination may have accepted it.
func (engine *Engine) MoveJobs(ctx context.Context, deliver Deliver) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !engine.isLeading() {
			continue
		}
		for _, job := range engine.machine.MovedJobs() {
			if err := engine.moveJob(ctx, job, deliver); err != nil && ctx.Err() == nil {
				engine.log.Warn().Str("event", "jobNotMoved").Err(err).Str("job", string(job)).
					Msg("failed to complete the move of a job")
			}
		}
	}
}

func (engine *Engine) moveJob(ctx context.Context, job scheduler.JobID, deliver Deliver) error {
	record, to, ok := engine.machine.MovedRecord(job)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	if err := deliver(ctx, to, record); err != nil {
		return Error.Wrap(err)
	}
	if err := engine.ConfirmMove(ctx, job); err != nil {
		return err
	}
	engine.log.Info().Str("event", "jobMoved").Str("job", string(job)).Str("dataCentre", string(to)).Msg("job moved")
	return nil
}
