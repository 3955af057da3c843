package configurator

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/rs/zerolog"
)

const (
	// distributionInterval bounds the delay until a new leader of the local group notices an accepted
	// revision. It is small compared to the bound of 17 s for a revision to be in force.
	distributionInterval = time.Second
	// distributionTimeout bounds one distribution, so that the loss of a majority does not block the loop.
	distributionTimeout = 5 * time.Second
)

// Distributor copies accepted revisions from the global group to a data centre's group. It runs on
// every VM of the data centre and is active only on the one that holds the local group's leader lease.
type Distributor struct {
	globalMachine *GlobalMachine
	localMachine  *LocalMachine
	group         scheduler.Group
	log           zerolog.Logger
}

// DistributorOption configures a Distributor.
type DistributorOption func(*Distributor)

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(log zerolog.Logger) DistributorOption {
	return func(distributor *Distributor) { distributor.log = log }
}

// NewDistributor returns a Distributor. globalMachine and localMachine are this VM's replicas of the
// two state machines; group is the view of the data centre's group for localMachine.
func NewDistributor(
	globalMachine *GlobalMachine, localMachine *LocalMachine, group scheduler.Group, options ...DistributorOption,
) *Distributor {
	distributor := &Distributor{globalMachine: globalMachine, localMachine: localMachine, group: group, log: zerolog.Nop()}
	for _, option := range options {
		option(distributor)
	}
	return distributor
}

// Run distributes accepted revisions until ctx is cancelled.
func (distributor *Distributor) Run(ctx context.Context) {
	subscription := distributor.globalMachine.Subscribe()
	defer subscription.Close()
	ticker := time.NewTicker(distributionInterval)
	defer ticker.Stop()
	for {
		if err := distributor.Distribute(ctx); err != nil && ctx.Err() == nil {
			distributor.log.Warn().Str("event", "configurationNotDistributed").Err(err).
				Str("group", string(distributor.group.Name())).Msg("failed to distribute the configuration")
		}
		select {
		case <-ctx.Done():
			return
		case <-subscription.Changed():
		case <-ticker.C:
		}
	}
}

// Distribute copies the newest accepted revision to the local group if the group has an older one
// and this VM holds its leader lease. Otherwise it does nothing.
func (distributor *Distributor) Distribute(ctx context.Context) error {
	if !distributor.group.HoldsLeaderLease() {
		return nil
	}
	revision, document := distributor.globalMachine.Current()
	inForce, previous, _ := distributor.localMachine.InForce()
	if revision <= inForce {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, distributionTimeout)
	defer cancel()
	digest, err := Digest(document)
	if err != nil {
		return err
	}
	delta, err := NewDelta(previous, document)
	if err != nil {
		return err
	}
	activation := Activation{Revision: revision, Base: inForce, Digest: digest, Delta: &delta}
	result, err := distributor.propose(ctx, activation)
	if err == nil && result.Outcome == ActivationNeedsDocument {
		activation = Activation{Revision: revision, Digest: digest, Document: document}
		result, err = distributor.propose(ctx, activation)
	}
	if err != nil {
		return err
	}
	if result.Outcome != ActivationApplied && result.Outcome != ActivationNotNewer {
		return Error.New("revision %d: %s: %s", revision, result.Outcome, result.Reason)
	}
	distributor.log.Info().Str("event", "configurationDistributed").Uint64("revision", uint64(result.Revision)).
		Str("outcome", string(result.Outcome)).Str("group", string(distributor.group.Name())).Msg("configuration distributed")
	return nil
}

func (distributor *Distributor) propose(ctx context.Context, activation Activation) (result ActivationResult, err error) {
	encoded, err := encoder.Marshal(activation)
	if err != nil {
		return result, Error.Wrap(err)
	}
	response, err := distributor.group.Propose(ctx, encoded)
	if err != nil {
		return result, Error.Wrap(err)
	}
	return result, Error.Wrap(encoder.Unmarshal(response, &result))
}
