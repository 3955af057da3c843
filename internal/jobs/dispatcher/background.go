package dispatcher

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// followPeriod is how soon a new leader notices that its log has an older inventory than the
// configuration in force, and how soon an unfinished move is tried again.
const followPeriod = time.Second

// ConfigurationSource returns the configuration in force in the data centre. ok is false while it is not known.
type ConfigurationSource func() (revision scheduler.Revision, document *scheduler.Configuration, ok bool)

// FollowInventory keeps the inventory in the log in step with the configuration in force until ctx
// ends. It runs on every VM and acts only on the leader. changed receives a value when a revision has
// come into force; it may be nil.
func (engine *Engine) FollowInventory(ctx context.Context, inForce ConfigurationSource, changed <-chan struct{}) {
	ticker := time.NewTicker(followPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
		revision, document, ok := inForce()
		if !ok || !engine.leads() {
			continue
		}
		if err := engine.SetInventory(ctx, revision, document.Workers); err != nil && ctx.Err() == nil {
			engine.log.Warn().Str("event", "inventoryNotFollowed").Err(err).Uint64("revision", uint64(revision)).Msg("inventory not followed")
		}
	}
}

// leads reports whether this engine has taken over and may act now.
func (engine *Engine) leads() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.acts(engine.term)
}

// Deliver proposes the Accept of a moved job in its new home. It returns an error unless the new home
// has logged it; a repeated delivery is harmless.
type Deliver func(ctx context.Context, to scheduler.DataCentreName, record []byte) error

// MoveJobs delivers released jobs to their new homes until ctx ends. It runs on every VM and acts only
// on the leader. A job whose delivery fails stays released and is tried again; it never comes back by
// itself, because the new home may have logged it.
func (engine *Engine) MoveJobs(ctx context.Context, deliver Deliver) {
	ticker := time.NewTicker(followPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !engine.leads() {
			continue
		}
		for _, job := range engine.machine.MovedJobs() {
			if err := engine.moveJob(ctx, job, deliver); err != nil && ctx.Err() == nil {
				engine.log.Warn().Str("event", "jobNotMoved").Err(err).Str("job", string(job)).Msg("job not moved")
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
