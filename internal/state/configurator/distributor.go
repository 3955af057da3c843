package configurator

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/rs/zerolog"
)

const (
	// distributionPeriod is the longest time until a new leader of the local group notices an
	// accepted revision; it is small against the bound of 17 s for a revision to be in force.
	distributionPeriod = time.Second
	// distributionTimeout bounds one proposal, so that a lost majority does not stop the loop.
	distributionTimeout = 5 * time.Second
)

// Distributor copies accepted revisions from the global group into a data centre's group. It runs on
// every VM of the data centre and acts only where the local group's leader lease is held.
type Distributor struct {
	globalMachine *GlobalMachine
	localMachine  *LocalMachine
	group         scheduler.Group
	log           zerolog.Logger
}

// DistributorOption configures a Distributor.
type DistributorOption func(*Distributor)

// WithLogger sets the logger. The default discards everything.
func WithLogger(log zerolog.Logger) DistributorOption {
	return func(distributor *Distributor) { distributor.log = log }
}

// NewDistributor returns a Distributor. group is the data centre's group as the machine local sees
// it; global and local are this VM's replicas of the two machines.
func NewDistributor(globalMachine *GlobalMachine, localMachine *LocalMachine, group scheduler.Group, options ...DistributorOption) *Distributor {
	distributor := &Distributor{globalMachine: globalMachine, localMachine: localMachine, group: group, log: zerolog.Nop()}
	for _, option := range options {
		option(distributor)
	}
	return distributor
}

// Run copies revisions until ctx ends.
func (distributor *Distributor) Run(ctx context.Context) {
	subscription := distributor.globalMachine.Subscribe()
	defer subscription.Close()
	ticker := time.NewTicker(distributionPeriod)
	defer ticker.Stop()
	for {
		if err := distributor.Distribute(ctx); err != nil && ctx.Err() == nil {
			distributor.log.Warn().Str("event", "configurationNotDistributed").Err(err).Str("group", string(distributor.group.Name())).
				Msg("configuration not distributed")
		}
		select {
		case <-ctx.Done():
			return
		case <-subscription.Changed():
		case <-ticker.C:
		}
	}
}

// Distribute copies the newest accepted revision if the local group has an older one and this VM
// holds its leader lease. It does nothing otherwise.
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
	command := Activation{Revision: revision, Base: inForce, Digest: digest, Delta: &delta}
	result, err := distributor.propose(ctx, command)
	if err == nil && result.Outcome == ActivationNeedsDocument {
		command = Activation{Revision: revision, Digest: digest, Document: document}
		result, err = distributor.propose(ctx, command)
	}
	if err != nil {
		return err
	}
	if result.Outcome != ActivationApplied && result.Outcome != ActivationNotNewer {
		return Error.New("revision %d: %s: %s", revision, result.Outcome, result.Reason)
	}
	distributor.log.Info().Str("event", "configurationDistributed").Uint64("revision", uint64(result.Revision)).Str("outcome", string(result.Outcome)).
		Str("group", string(distributor.group.Name())).Msg("configuration distributed")
	return nil
}

func (distributor *Distributor) propose(ctx context.Context, command Activation) (result ActivationResult, err error) {
	encoded, err := encoder.Marshal(command)
	if err != nil {
		return result, Error.Wrap(err)
	}
	answer, err := distributor.group.Propose(ctx, encoded)
	if err != nil {
		return result, Error.Wrap(err)
	}
	return result, Error.Wrap(encoder.Unmarshal(answer, &result))
}
