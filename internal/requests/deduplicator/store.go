package deduplicator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	mathrand "math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// initialBackoff and maxBackoff limit the exponential backoff between two proposals for one key.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// withdrawTimeout limits the time for withdrawing a begin whose outcome is unknown.
	withdrawTimeout = 5 * time.Second
)

// Proposer replicates a command in one group and returns its result. scheduler.Group implements it.
type Proposer interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// Store is the gateway's client for the idempotency records. It implements scheduler.KeyStore and is safe for
// concurrent use.
type Store struct {
	dataCentre  scheduler.DataCentreName
	vm          scheduler.VMName
	incarnation scheduler.Incarnation
	homes       func() []scheduler.DataCentreName
	proposer    func(home scheduler.DataCentreName) Proposer
	machine     *Machine
	log         zerolog.Logger

	// registered holds the data centres whose groups know this incarnation. Only Start uses it.
	registered map[scheduler.DataCentreName]bool

	mutex       sync.Mutex
	attempts    map[string][]byte
	withdrawals sync.WaitGroup
}

// StoreOption configures a Store.
type StoreOption func(store *Store)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) StoreOption {
	return func(store *Store) { store.log = log }
}

// WithMachine sets the local replica of the records of the local data centre's group. Retried requests whose key is
// stored there then wait for a change of the replica instead of polling the group with proposals.
func WithMachine(machine *Machine) StoreOption {
	return func(store *Store) { store.machine = machine }
}

// NewStore returns a Store. homes returns the configured data centres. proposer returns the Proposer for the group of
// a data centre, or nil if there is none. incarnation must be higher at each start of the process.
func NewStore(gateway scheduler.Gateway, incarnation scheduler.Incarnation, homes func() []scheduler.DataCentreName,
	proposer func(home scheduler.DataCentreName) Proposer, options ...StoreOption,
) *Store {
	store := &Store{
		dataCentre: gateway.DataCentre, vm: gateway.VM, incarnation: incarnation, homes: homes, proposer: proposer,
		log: zerolog.Nop(), registered: map[scheduler.DataCentreName]bool{}, attempts: map[string][]byte{},
	}
	for _, option := range options {
		option(store)
	}
	return store
}

// NewKey returns a key of the form dataCentre:issueTime:random.
func (store *Store) NewKey() string {
	return string(store.dataCentre) + ":" + strconv.FormatInt(time.Now().UnixMilli(), 10) + ":" + hex.EncodeToString(randomID())
}

func randomID() []byte {
	id := make([]byte, 16)
	// rand.Read never returns an error; it crashes the process if the system has no random source.
	_, _ = rand.Read(id)
	return id
}

// Home returns the data centre that stores the key: the one in its prefix if that is configured, otherwise the one
// selected by rendezvous hashing. It is empty if no data centre is configured.
func (store *Store) Home(key string) scheduler.DataCentreName {
	homes := store.homes()
	if prefix, _, ok := strings.Cut(key, ":"); ok && slices.Contains(homes, scheduler.DataCentreName(prefix)) {
		return scheduler.DataCentreName(prefix)
	}
	var home scheduler.DataCentreName
	best := uint64(0)
	for _, candidate := range homes {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(string(candidate) + "\x00" + key))
		if weight := mix(hash.Sum64()); home == "" || weight > best || weight == best && candidate < home {
			home, best = candidate, weight
		}
	}
	return home
}

// mix is the finalizer of SplitMix64. It spreads the bits of hashes whose inputs differ in few bytes.
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// Start registers this gateway's incarnation with the groups of all data centres, so that requests of its earlier
// incarnations no longer count as running. It returns the first error; a group that was not reached sets those
// requests to unknown after their deadlines. After an error, Start may be called again for the groups that were not
// reached. It must not be called concurrently.
func (store *Store) Start(ctx context.Context) error {
	var first error
	for _, home := range store.homes() {
		if store.registered[home] {
			continue
		}
		_, err := store.propose(ctx, home, command{Kind: commandRegister})
		store.registered[home] = err == nil
		if first == nil {
			first = err
		}
	}
	return first
}

// Close waits for pending withdrawals.
func (store *Store) Close() { store.withdrawals.Wait() }

func (store *Store) propose(ctx context.Context, home scheduler.DataCentreName, proposal command) (result, error) {
	proposer := store.proposer(home)
	if home == "" || proposer == nil {
		return result{}, Error.Wrap(scheduler.ErrNotRun.New("no group for the home data centre %q of the key", home))
	}
	proposal.Now, proposal.VM, proposal.Incarnation = time.Now().UnixMilli(), store.vm, store.incarnation
	body, err := cbor.Marshal(proposal)
	if err != nil {
		return result{}, Error.Wrap(scheduler.ErrNotRun.Wrap(err))
	}
	reply, err := proposer.Propose(ctx, body)
	if err != nil {
		return result{}, Error.Wrap(err)
	}
	var response result
	if err := cbor.Unmarshal(reply, &response); err != nil {
		return result{}, Error.Wrap(scheduler.ErrOutcomeUnknown.Wrap(err))
	}
	return response, nil
}

// Begin records that the request starts. See scheduler.KeyStore.
func (store *Store) Begin(ctx context.Context, request scheduler.KeyRequest) (scheduler.KeyDecision, scheduler.StoredResponse, error) {
	proposal := command{Kind: commandBegin, Key: request.Key, Digest: request.Digest, Attempt: randomID(), Deadline: request.Deadline.UnixMilli()}
	home := store.Home(request.Key)
	maybeCommitted := false
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		response, err := store.propose(ctx, home, proposal)
		switch {
		case err == nil && response.Kind != resultRunning:
			return store.decide(proposal, response)
		case err != nil && scheduler.ErrOutcomeUnknown.Has(err):
			// Proposing the same attempt again is safe.
			maybeCommitted = true
		case err != nil && !maybeCommitted:
			return "", scheduler.StoredResponse{}, err
		}
		if !store.waitForRetry(ctx, home, proposal.Key, backoff, err == nil) {
			return store.abandonBegin(home, proposal, maybeCommitted, err)
		}
	}
}

func (store *Store) decide(proposal command, response result) (scheduler.KeyDecision, scheduler.StoredResponse, error) {
	switch response.Kind {
	case resultRun:
		store.mutex.Lock()
		defer store.mutex.Unlock()
		store.attempts[proposal.Key] = proposal.Attempt
		return scheduler.KeyRun, scheduler.StoredResponse{}, nil
	case resultCompleted:
		return scheduler.KeyCompleted, response.Response, nil
	case resultUnknown:
		return scheduler.KeyUnknown, scheduler.StoredResponse{}, nil
	case resultConflict:
		return scheduler.KeyConflict, scheduler.StoredResponse{}, nil
	default:
		return "", scheduler.StoredResponse{}, Error.Wrap(scheduler.ErrNotRun.New("begin refused: %s", response.Kind))
	}
}

// abandonBegin returns the result of a begin whose ctx has ended. err is nil if another attempt was still running
// the request; its outcome is then unknown.
func (store *Store) abandonBegin(home scheduler.DataCentreName, proposal command, maybeCommitted bool, err error) (scheduler.KeyDecision, scheduler.StoredResponse, error) {
	if maybeCommitted {
		store.withdrawals.Go(func() { store.withdraw(home, proposal) })
	}
	if err == nil {
		return scheduler.KeyUnknown, scheduler.StoredResponse{}, nil
	}
	return "", scheduler.StoredResponse{}, Error.Wrap(scheduler.ErrOutcomeUnknown.New("begin: %v", err))
}

// withdraw releases the key of a begin that may have been committed although the request was not run.
func (store *Store) withdraw(home scheduler.DataCentreName, proposal command) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	withdrawal := command{Kind: commandFinish, Key: proposal.Key, Attempt: proposal.Attempt, Outcome: scheduler.OutcomeNotRun}
	if err := store.proposeUntilCommitted(ctx, home, withdrawal); err != nil {
		store.log.Warn().Str("event", "withdrawalFailed").Str("key", proposal.Key).Err(err).Msg("could not withdraw begin; key stays in use until its deadline")
	}
}

// proposeUntilCommitted retries the proposal until it is known to be committed or ctx ends.
func (store *Store) proposeUntilCommitted(ctx context.Context, home scheduler.DataCentreName, proposal command) error {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		_, err := store.propose(ctx, home, proposal)
		if err == nil {
			return nil
		}
		if !store.waitForRetry(ctx, home, proposal.Key, backoff, false) {
			return err
		}
	}
}

// waitForRetry waits before the next proposal, with jitter, or until the local replica reports a change of a running
// key. It returns false if ctx has ended.
func (store *Store) waitForRetry(ctx context.Context, home scheduler.DataCentreName, key string, backoff time.Duration, running bool) bool {
	var changed <-chan struct{}
	if running && store.machine != nil && home == store.dataCentre {
		changed, backoff = store.machine.Changed(key), maxBackoff
		select {
		case <-changed:
			// The local replica lags behind or the key has just changed, so retry soon.
			changed, backoff = nil, initialBackoff
		default:
		}
	}
	timer := time.NewTimer(backoff/2 + mathrand.N(backoff/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// Finish records the outcome of a request for which Begin returned KeyRun. It retries until ctx ends.
func (store *Store) Finish(ctx context.Context, request scheduler.KeyRequest, outcome scheduler.Outcome, response scheduler.StoredResponse) error {
	store.mutex.Lock()
	attempt := store.attempts[request.Key]
	delete(store.attempts, request.Key)
	store.mutex.Unlock()
	if attempt == nil {
		return Error.New("finish of a key without a begin on this gateway")
	}
	proposal := command{Kind: commandFinish, Key: request.Key, Attempt: attempt, Outcome: outcome, Response: response}
	if err := store.proposeUntilCommitted(ctx, store.Home(request.Key), proposal); err != nil {
		store.log.Warn().Str("event", "finishFailed").Str("key", request.Key).Err(err).Msg("could not record the outcome of a request")
		return err
	}
	return nil
}
