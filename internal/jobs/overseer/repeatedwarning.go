package overseer

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// repeatedWarningInterval is the minimum interval between log lines about failed proposals of the same kind. Each
// attempt whose end cannot be recorded fails again every second.
const repeatedWarningInterval = 10 * time.Second

// repeatedWarning counts a failed proposal that is made again later and returns a log event for it. The event is nil,
// so that nothing is logged, if a line of the same kind was written shortly before; the next line has the number of
// those suppressed.
func (leadership *leadership) repeatedWarning(name string, err error) *zerolog.Event {
	leadership.overseer.metrics.countFailedProposal(name)
	outcome := proposalOutcome(err)
	suppressed, allowed := leadership.repeatedWarnings.Allow(name + "/" + string(outcome))
	if !allowed {
		return nil
	}
	return leadership.logger.Warn().Str("event", name).Str("outcome", string(outcome)).Int("suppressed", suppressed).Err(err)
}

// proposalOutcome returns what is known about a failed proposal.
func proposalOutcome(err error) scheduler.Outcome {
	if scheduler.ErrNotRun.Has(err) {
		return scheduler.OutcomeNotRun
	}
	return scheduler.OutcomeUnknown
}

// countFailedProposal counts a failed proposal under the name of its log event.
func (metrics *metrics) countFailedProposal(event string) {
	metrics.scope.Tagged(map[string]string{"event": event}).Counter("proposals_failed").Inc(1)
}
