package composer

import (
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/internal/operating/kernel"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/placement/governor"
	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/internal/state/multiplexer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Kinds of messages that only the group's leader processes.
const (
	kindWorkerSync scheduler.MessageKind = "workerSync"
	kindEvict      scheduler.MessageKind = "evict"
)

const (
	// syncBodyLimit bounds a worker's exchange: 22 tasks need less than 4 KB, and a burst of ended
	// attempts must still fit.
	syncBodyLimit = 1 << 20
	// syncTimeLimit is below the workers' own limit for an exchange.
	syncTimeLimit = 2 * time.Second
	mediaTypeCBOR = "application/cbor"
)

func init() {
	kernel.Register(loader.RoleScheduler, newCoordinator, loader.RoleReplica)
}

// coordinator is the scheduler role: it places the data centre's tasks while its VM leads the group.
type coordinator struct {
	environment *environment
	replicas    *replicaRole
	engine      *dispatcher.Engine
	governor    *governor.Governor
	group       *multiplexer.Member
	distributor *configurator.Distributor
	cancel      context.CancelFunc
	workers     sync.WaitGroup
}

func newCoordinator(host kernel.ServiceRegistry) (kernel.Role, error) {
	environment, replicas := environmentOf(host), replicasOf(host)
	if replicas == nil {
		return nil, Error.New("the role scheduler needs the role replica")
	}
	home := environment.homeGroup()
	coordinator := &coordinator{
		environment: environment, replicas: replicas,
		group: replicas.member(home, machineDispatcher),
	}
	log := environment.log.With().Str("role", loader.RoleScheduler).Logger()
	var err error
	if coordinator.governor, err = governor.New(coordinator.group, governor.WithLogger(log)); err != nil {
		return nil, Error.Wrap(err)
	}
	coordinator.engine = dispatcher.NewEngine(environment.settings.VM, coordinator.group, replicas.jobs, coordinator.governor,
		dispatcher.WithLogger(log), dispatcher.WithUsageHandler(coordinator.governor.Usage), dispatcher.WithEndedHandler(coordinator.governor.Ended))
	coordinator.distributor = configurator.NewDistributor(replicas.global, replicas.local,
		replicas.member(home, machineConfiguration), configurator.WithLogger(log))
	environment.transport.Handle(home, kindWorkerSync, coordinator.handleSync)
	environment.transport.Handle(home, kindEvict, coordinator.handleEvict)
	environment.callerMux.Handle("POST /v1/workers/{worker}/sync",
		environment.access.guard("exchange with a worker", http.HandlerFunc(coordinator.serveSync)))
	host.Publish(serviceCoordinator, coordinator)
	return coordinator, nil
}

// Start starts the engine and the copying of configuration revisions. Both act only while this VM
// holds the leader lease.
func (coordinator *coordinator) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	coordinator.cancel = cancel
	changes := coordinator.replicas.local.Subscribe()
	coordinator.workers.Go(func() { coordinator.engine.Run(ctx) })
	coordinator.workers.Go(func() { coordinator.distributor.Run(ctx) })
	coordinator.workers.Go(func() {
		defer changes.Close()
		coordinator.engine.FollowInventory(ctx, coordinator.replicas.local.InForce, changes.Changed())
	})
	coordinator.workers.Go(func() { coordinator.engine.MoveJobs(ctx, coordinator.deliver) })
	coordinator.workers.Go(func() { coordinator.governor.Run(ctx, coordinator.engine) })
	teams := coordinator.replicas.local.Subscribe()
	coordinator.workers.Go(func() {
		defer teams.Close()
		coordinator.governor.FollowTeams(ctx, coordinator.replicas.local.InForce, teams.Changed())
	})
	return nil
}

// Stop ends the engine. Leases run on; the next leader takes over.
func (coordinator *coordinator) Stop(context.Context) error {
	coordinator.cancel()
	coordinator.workers.Wait()
	return nil
}

// deliver logs a moved job in its new home.
func (coordinator *coordinator) deliver(ctx context.Context, to scheduler.DataCentreName, record []byte) error {
	proposer := coordinator.replicas.proposer(to, machineDispatcher)
	if proposer == nil {
		return scheduler.ErrNotRun.Wrap(Error.New("no group of data centre %s is known", to))
	}
	command, err := cbor.Marshal(dispatcher.Command{
		AtUnixMilli: time.Now().UnixMilli(),
		Operations:  []dispatcher.Operation{{Accept: &dispatcher.Accept{Record: record}}},
	})
	if err != nil {
		return Error.Wrap(err)
	}
	answered, err := proposer.Propose(ctx, command)
	if err != nil {
		return err
	}
	var results []dispatcher.Result
	if err := cbor.Unmarshal(answered, &results); err != nil || len(results) != 1 {
		return scheduler.ErrOutcomeUnknown.Wrap(Error.New("data centre %s gave no result for the moved job", to))
	}
	if results[0].Outcome == dispatcher.ResultRefused {
		return scheduler.ErrNotRun.Wrap(Error.New("data centre %s refused the moved job: %s", to, results[0].Reason))
	}
	return nil
}

// sync processes a worker's exchange here if this VM leads, and otherwise sends it to the leader.
func (coordinator *coordinator) sync(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error) {
	if coordinator.group.HoldsLeaderLease() {
		return coordinator.engine.Sync(ctx, request)
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	answered, err := coordinator.callLeader(ctx, kindWorkerSync, body)
	if err != nil {
		return nil, err
	}
	answer := &scheduler.SyncResponse{}
	return answer, Error.Wrap(cbor.Unmarshal(answered, answer))
}

func (coordinator *coordinator) callLeader(ctx context.Context, kind scheduler.MessageKind, body []byte) ([]byte, error) {
	leader := coordinator.group.Status().Leader()
	if leader == "" || leader == coordinator.environment.settings.VM {
		return nil, scheduler.ErrNotRun.Wrap(Error.New("group %s has no leader now", coordinator.group.Name()))
	}
	return coordinator.environment.transport.Call(ctx, leader, coordinator.group.Name(), kind, body)
}

func (coordinator *coordinator) handleSync(ctx context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	var request scheduler.SyncRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
	}
	answer, err := coordinator.engine.Sync(ctx, &request)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(answer)
}

// serveSync serves a worker's exchange in JSON or CBOR.
func (coordinator *coordinator) serveSync(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), syncTimeLimit)
	defer cancel()
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, syncBodyLimit))
	if err != nil {
		http.Error(writer, "the exchange is larger than 1 MiB or broke off", http.StatusRequestEntityTooLarge)
		return
	}
	mediaType, _, _ := mime.ParseMediaType(request.Header.Get("Content-Type"))
	exchange := &scheduler.SyncRequest{}
	if err := decode(mediaType, body, exchange); err != nil {
		http.Error(writer, "malformed exchange: "+err.Error(), http.StatusBadRequest)
		return
	}
	if string(exchange.Worker) != request.PathValue("worker") {
		http.Error(writer, "the exchange names another worker than its path", http.StatusBadRequest)
		return
	}
	answer, err := coordinator.sync(ctx, exchange)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	data, err := encode(mediaType, answer)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", mediaType)
	_, _ = writer.Write(data)
}

func decode(mediaType string, data []byte, value any) error {
	if mediaType == mediaTypeCBOR {
		return cbor.Unmarshal(data, value)
	}
	return json.Unmarshal(data, value)
}

func encode(mediaType string, value any) ([]byte, error) {
	if mediaType == mediaTypeCBOR {
		return cbor.Marshal(value)
	}
	return json.Marshal(value)
}

// evictMessage is the body of an evict message. It is a wire type.
type evictMessage struct {
	Task   scheduler.TaskID `cbor:"task"`
	Reason string           `cbor:"reason"`
}

// evict evicts a task here if this VM leads, and otherwise asks the leader.
func (coordinator *coordinator) evict(ctx context.Context, task scheduler.TaskID, reason string) error {
	if coordinator.group.HoldsLeaderLease() {
		return coordinator.engine.Evict(ctx, task, reason)
	}
	body, err := cbor.Marshal(evictMessage{Task: task, Reason: reason})
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = coordinator.callLeader(ctx, kindEvict, body)
	return err
}

func (coordinator *coordinator) handleEvict(ctx context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	var message evictMessage
	if err := cbor.Unmarshal(body, &message); err != nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
	}
	return nil, coordinator.engine.Evict(ctx, message.Task, message.Reason)
}
