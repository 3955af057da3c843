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
	// firstPause and longestPause bound the back-off between two proposals for one key.
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
	// cancelLimit is how long the withdrawal of a begin whose outcome is unknown is tried.
	cancelLimit = 5 * time.Second
)

// Proposer replicates a command in one group. scheduler.Group implements it.
type Proposer interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// Store is the gateway's side of at most once. It implements scheduler.KeyStore and is safe for
// concurrent use.
type Store struct {
	dataCentre scheduler.DataCentreName
	vm         scheduler.VMName
	life       scheduler.Incarnation
	homes      func() []scheduler.DataCentreName
	proposer   func(home scheduler.DataCentreName) Proposer
	machine    *Machine
	log        zerolog.Logger

	mutex    sync.Mutex
	attempts map[string][]byte
	cancels  sync.WaitGroup
}

// StoreOption changes a Store at its creation.
type StoreOption func(store *Store)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) StoreOption {
	return func(store *Store) { store.log = log }
}

// WithMachine sets the local replica of the own data centre's records. Resends of keys with a local home
// then wait for its changes instead of proposing again and again.
func WithMachine(machine *Machine) StoreOption {
	return func(store *Store) { store.machine = machine }
}

// NewStore returns a Store. homes returns the configured data centres, proposer the way to the group of
// one of them, nil when there is none. life is new at each start of the process.
func NewStore(gateway scheduler.Gateway, life scheduler.Incarnation, homes func() []scheduler.DataCentreName,
	proposer func(home scheduler.DataCentreName) Proposer, options ...StoreOption,
) *Store {
	store := &Store{
		dataCentre: gateway.DataCentre, vm: gateway.VM, life: life, homes: homes, proposer: proposer,
		log: zerolog.Nop(), attempts: map[string][]byte{},
	}
	for _, option := range options {
		option(store)
	}
	return store
}

// NewKey returns a key of the form dataCentre:issueTime:random.
func (store *Store) NewKey() string {
	return string(store.dataCentre) + ":" + strconv.FormatInt(time.Now().UnixMilli(), 10) + ":" + hex.EncodeToString(random())
}

func random() []byte {
	made := make([]byte, 16)
	// rand.Read never fails; it ends the process when the system has no random source.
	_, _ = rand.Read(made)
	return made
}

// Home returns the data centre that keeps the key: the one that its prefix names, otherwise the one that
// rendezvous hashing gives. It is empty when no data centre is configured.
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

// mix spreads the bits of a hash whose inputs differ in few places. It is the finaliser of SplitMix64.
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// Start tells the own data centre's group and the others that this gateway's earlier lives are gone. It
// returns the first failure; the deadlines of their requests settle them anyway.
func (store *Store) Start(ctx context.Context) error {
	var first error
	for _, home := range store.homes() {
		if _, err := store.propose(ctx, home, command{Kind: commandAlive}); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Close waits for withdrawals that are under way.
func (store *Store) Close() { store.cancels.Wait() }

func (store *Store) propose(ctx context.Context, home scheduler.DataCentreName, asked command) (result, error) {
	proposer := store.proposer(home)
	if home == "" || proposer == nil {
		return result{}, Error.Wrap(scheduler.ErrNotRun.New("no way to the home %q of the key", home))
	}
	asked.Now, asked.VM, asked.Life = time.Now().UnixMilli(), store.vm, store.life
	body, err := cbor.Marshal(asked)
	if err != nil {
		return result{}, Error.Wrap(scheduler.ErrNotRun.Wrap(err))
	}
	reply, err := proposer.Propose(ctx, body)
	if err != nil {
		return result{}, Error.Wrap(err)
	}
	var given result
	if err := cbor.Unmarshal(reply, &given); err != nil {
		return result{}, Error.Wrap(scheduler.ErrOutcomeUnknown.Wrap(err))
	}
	return given, nil
}

// Begin records that the request starts, see scheduler.KeyStore.
func (store *Store) Begin(ctx context.Context, request scheduler.KeyRequest) (scheduler.KeyDecision, scheduler.StoredResponse, error) {
	asked := command{Kind: commandBegin, Key: request.Key, Digest: request.Digest, Attempt: random(), Deadline: request.Deadline.UnixMilli()}
	home := store.Home(request.Key)
	unsure := false
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		given, err := store.propose(ctx, home, asked)
		switch {
		case err == nil && given.Kind != resultRunning:
			return store.decide(asked, given)
		case err != nil && scheduler.ErrOutcomeUnknown.Has(err):
			// The same attempt may be proposed again.
			unsure = true
		case err != nil && !unsure:
			return "", scheduler.StoredResponse{}, err
		}
		if !store.pause(ctx, home, asked.Key, pause, err == nil) {
			return store.giveUp(home, asked, unsure, err)
		}
	}
}

func (store *Store) decide(asked command, given result) (scheduler.KeyDecision, scheduler.StoredResponse, error) {
	switch given.Kind {
	case resultRun:
		store.mutex.Lock()
		defer store.mutex.Unlock()
		store.attempts[asked.Key] = asked.Attempt
		return scheduler.KeyRun, scheduler.StoredResponse{}, nil
	case resultAnswered:
		return scheduler.KeyCompleted, given.Answer, nil
	case resultUnknown:
		return scheduler.KeyUnknown, scheduler.StoredResponse{}, nil
	case resultConflict:
		return scheduler.KeyConflict, scheduler.StoredResponse{}, nil
	default:
		return "", scheduler.StoredResponse{}, Error.Wrap(scheduler.ErrNotRun.New("begin refused: %s", given.Kind))
	}
}

// giveUp ends a begin when ctx has ended. While another gateway runs the request its outcome is not
// known here.
func (store *Store) giveUp(home scheduler.DataCentreName, asked command, unsure bool, err error) (scheduler.KeyDecision, scheduler.StoredResponse, error) {
	if unsure {
		store.cancels.Go(func() { store.withdraw(home, asked) })
	}
	if err == nil {
		return scheduler.KeyUnknown, scheduler.StoredResponse{}, nil
	}
	return "", scheduler.StoredResponse{}, Error.Wrap(scheduler.ErrOutcomeUnknown.New("begin: %v", err))
}

// withdraw frees the key of a begin that may have been committed although nothing was run.
func (store *Store) withdraw(home scheduler.DataCentreName, asked command) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelLimit)
	defer cancel()
	withdrawal := command{Kind: commandFinish, Key: asked.Key, Attempt: asked.Attempt, Outcome: scheduler.OutcomeNotRun}
	if err := store.repeat(ctx, home, withdrawal); err != nil {
		store.log.Warn().Str("event", "withdrawalFailed").Str("key", asked.Key).Err(err).Msg("key stays in use until its deadline")
	}
}

// repeat proposes until the proposal is known to be committed or ctx ends.
func (store *Store) repeat(ctx context.Context, home scheduler.DataCentreName, asked command) error {
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		_, err := store.propose(ctx, home, asked)
		if err == nil {
			return nil
		}
		if !store.pause(ctx, home, asked.Key, pause, false) {
			return err
		}
	}
}

// pause waits before the next proposal. It returns false when ctx has ended.
func (store *Store) pause(ctx context.Context, home scheduler.DataCentreName, key string, pause time.Duration, running bool) bool {
	var changed <-chan struct{}
	if running && store.machine != nil && home == store.dataCentre {
		changed, pause = store.machine.Changed(key), longestPause
		select {
		case <-changed:
			// The local replica is behind or the key has just changed: ask again soon.
			changed, pause = nil, firstPause
		default:
		}
	}
	timer := time.NewTimer(pause/2 + mathrand.N(pause/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// Finish records the outcome of a request for which Begin returned KeyRun. It tries until ctx ends.
func (store *Store) Finish(ctx context.Context, request scheduler.KeyRequest, outcome scheduler.Outcome, answer scheduler.StoredResponse) error {
	store.mutex.Lock()
	attempt := store.attempts[request.Key]
	delete(store.attempts, request.Key)
	store.mutex.Unlock()
	if attempt == nil {
		return Error.New("finish of a key that was not begun here")
	}
	asked := command{Kind: commandFinish, Key: request.Key, Attempt: attempt, Outcome: outcome, Answer: answer}
	if err := store.repeat(ctx, store.Home(request.Key), asked); err != nil {
		store.log.Warn().Str("event", "finishFailed").Str("key", request.Key).Err(err).Msg("outcome of a request not recorded")
		return err
	}
	return nil
}
