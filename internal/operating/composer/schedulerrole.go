package composer

import (
	"context"
	"encoding/json"
	"mime"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/internal/operating/acceptor"
	"github.com/crocusplank/crocusplank/internal/operating/kernel"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/placement/governor"
	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/internal/state/multiplexer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Message kinds that only the leader of the group processes.
const (
	kindWorkerSync scheduler.MessageKind = "workerSync"
	kindEvict      scheduler.MessageKind = "evict"
)

const (
	// syncBodyLimit bounds the body of a worker's sync request. A request for 22 tasks is smaller than 4 KB; the limit
	// leaves room for a burst of ended attempts.
	syncBodyLimit = 1 << 20
	// At most maxLargeSyncs sync requests with bodies above smallSyncBytes, or of unknown length, are in memory.
	smallSyncBytes = 16 << 10
	maxLargeSyncs  = 16
	// syncTimeout is shorter than the timeout that workers set for a sync request.
	syncTimeout   = 2 * time.Second
	mediaTypeCBOR = "application/cbor"
)

func init() {
	kernel.Register(loader.RoleScheduler, newSchedulerRole, loader.RoleReplica)
}

// schedulerRole runs the scheduler, which places the data centre's tasks while this VM leads the group.
type schedulerRole struct {
	environment *environment
	replicas    *replicaRole
	engine      *dispatcher.Engine
	governor    *governor.Governor
	group       *multiplexer.GroupView
	distributor *configurator.Distributor
	// largeSyncs contains a value for each large sync request in memory.
	largeSyncs chan struct{}
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

func newSchedulerRole(registry kernel.ServiceRegistry) (kernel.Role, error) {
	environment, replicas := lookupEnvironment(registry), lookupReplicas(registry)
	if replicas == nil {
		return nil, Error.New("the role scheduler needs the role replica")
	}
	localGroup := environment.localGroup()
	schedulerRole := &schedulerRole{
		environment: environment, replicas: replicas,
		group: replicas.groupView(localGroup, machineDispatcher), largeSyncs: make(chan struct{}, maxLargeSyncs),
	}
	log := environment.log.With().Str("role", loader.RoleScheduler).Logger()
	var err error
	if schedulerRole.governor, err = governor.New(schedulerRole.group, governor.WithLogger(log)); err != nil {
		return nil, Error.Wrap(err)
	}
	schedulerRole.engine = dispatcher.NewEngine(environment.settings.VM, schedulerRole.group,
		replicas.jobs, schedulerRole.governor,
		dispatcher.WithLogger(log), dispatcher.WithUsageHandler(schedulerRole.governor.HandleUsage),
		dispatcher.WithEndedHandler(schedulerRole.governor.HandleEnded),
		dispatcher.WithDiskBudget(environment.settings.DiskBudget(), schedulerRole.localFolderBytes))
	schedulerRole.distributor = configurator.NewDistributor(replicas.global, replicas.local,
		replicas.groupView(localGroup, machineConfiguration), configurator.WithLogger(log))
	environment.transport.Handle(localGroup, kindWorkerSync, schedulerRole.handleSync)
	environment.transport.Handle(localGroup, kindEvict, schedulerRole.handleEvict)
	environment.callerMux.Handle("POST /v1/workers/{worker}/sync",
		environment.authorizer.requirePlatformToken("exchange with a worker", http.HandlerFunc(schedulerRole.serveSync)))
	registry.Publish(serviceScheduler, schedulerRole)
	return schedulerRole, nil
}

// localFolderBytes returns the room that the files of the data centre's group take on the disk of this VM, 0 without a
// disk.
func (schedulerRole *schedulerRole) localFolderBytes() int64 {
	group := schedulerRole.environment.localGroup()
	return schedulerRole.replicas.replicas[group].replicator.JournalUsage().FolderBytes()
}

// Start starts the dispatcher engine, the governor and the distribution of configuration revisions. They take effect
// only while this VM holds the leader lease.
func (schedulerRole *schedulerRole) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	schedulerRole.cancel = cancel
	inventoryChanges := schedulerRole.replicas.local.Subscribe()
	schedulerRole.goroutines.Go(func() { schedulerRole.engine.Run(ctx) })
	schedulerRole.goroutines.Go(func() { schedulerRole.distributor.Run(ctx) })
	schedulerRole.goroutines.Go(func() {
		defer inventoryChanges.Close()
		schedulerRole.engine.FollowInventory(ctx, schedulerRole.replicas.local.InForce, inventoryChanges.Changed())
	})
	schedulerRole.goroutines.Go(func() { schedulerRole.engine.MoveJobs(ctx, schedulerRole.submitMovedJob) })
	schedulerRole.goroutines.Go(func() { schedulerRole.governor.Run(ctx, schedulerRole.engine) })
	teamChanges := schedulerRole.replicas.local.Subscribe()
	schedulerRole.goroutines.Go(func() {
		defer teamChanges.Close()
		schedulerRole.governor.FollowTeams(ctx, schedulerRole.replicas.local.InForce, teamChanges.Changed())
	})
	return nil
}

// Stop stops the engine. Task leases stay valid and the next leader takes them over.
func (schedulerRole *schedulerRole) Stop(context.Context) error {
	schedulerRole.cancel()
	schedulerRole.goroutines.Wait()
	return nil
}

// submitMovedJob proposes a moved job to the group of its new data centre.
func (schedulerRole *schedulerRole) submitMovedJob(
	ctx context.Context, to scheduler.DataCentreName, record []byte,
) error {
	proposer := schedulerRole.replicas.proposer(to, machineDispatcher)
	if proposer == nil {
		return scheduler.ErrNotRun.Wrap(Error.New("no group is configured for data centre %s", to))
	}
	command, err := cbor.Marshal(dispatcher.Command{
		AtUnixMilli: time.Now().UnixMilli(),
		Operations:  []dispatcher.Operation{{Accept: &dispatcher.Accept{Record: record}}},
	})
	if err != nil {
		return Error.Wrap(err)
	}
	reply, err := proposer.Propose(ctx, command)
	if err != nil {
		return err
	}
	var results []dispatcher.Result
	if err := cbor.Unmarshal(reply, &results); err != nil || len(results) != 1 {
		return scheduler.ErrOutcomeUnknown.Wrap(Error.New("data centre %s returned no valid result for the moved job", to))
	}
	if results[0].Outcome == dispatcher.ResultRefused {
		return scheduler.ErrNotRun.Wrap(Error.New("data centre %s rejected the moved job: %s", to, results[0].Reason))
	}
	return nil
}

// syncWorker processes a worker's sync request if this VM holds the leader lease, and otherwise forwards it to the
// leader.
func (schedulerRole *schedulerRole) syncWorker(
	ctx context.Context, request *scheduler.SyncRequest,
) (*scheduler.SyncResponse, error) {
	if schedulerRole.group.HoldsLeaderLease() {
		return schedulerRole.engine.Sync(ctx, request)
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	reply, err := schedulerRole.callLeader(ctx, kindWorkerSync, body)
	if err != nil {
		return nil, err
	}
	response := &scheduler.SyncResponse{}
	return response, Error.Wrap(cbor.Unmarshal(reply, response))
}

func (schedulerRole *schedulerRole) callLeader(
	ctx context.Context, kind scheduler.MessageKind, body []byte,
) ([]byte, error) {
	leader := schedulerRole.group.Status().Leader()
	if leader == "" || leader == schedulerRole.environment.settings.VM {
		return nil, scheduler.ErrNotRun.Wrap(Error.New("group %s has no known leader", schedulerRole.group.Name()))
	}
	return schedulerRole.environment.transport.Call(ctx, leader, schedulerRole.group.Name(), kind, body)
}

func (schedulerRole *schedulerRole) handleSync(ctx context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	var request scheduler.SyncRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
	}
	response, err := schedulerRole.engine.Sync(ctx, &request)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(response)
}

// serveSync handles a worker's sync request, encoded as JSON or CBOR. The response uses the same encoding.
func (schedulerRole *schedulerRole) serveSync(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), syncTimeout)
	defer cancel()
	release, err := schedulerRole.reserveSync(ctx, request)
	if err != nil {
		acceptor.WriteError(writer, err)
		return
	}
	defer release()
	body, err := acceptor.ReadBody(request, syncBodyLimit)
	if err != nil {
		acceptor.WriteError(writer, err)
		return
	}
	mediaType, _, _ := mime.ParseMediaType(request.Header.Get("Content-Type"))
	syncRequest := &scheduler.SyncRequest{}
	if err := decode(mediaType, body, syncRequest); err != nil {
		http.Error(writer, "malformed sync request: "+err.Error(), http.StatusBadRequest)
		return
	}
	if string(syncRequest.Worker) != request.PathValue("worker") {
		http.Error(writer, "the worker in the sync request differs from the worker in the path", http.StatusBadRequest)
		return
	}
	response, err := schedulerRole.syncWorker(ctx, syncRequest)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	data, err := encode(mediaType, response)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", mediaType)
	_, _ = writer.Write(data)
}

// reserveSync waits until there is room for a sync request. Those of ordinary size are not limited.
func (schedulerRole *schedulerRole) reserveSync(ctx context.Context, request *http.Request) (release func(), err error) {
	if request.ContentLength >= 0 && request.ContentLength <= smallSyncBytes {
		return func() {}, nil
	}
	select {
	case schedulerRole.largeSyncs <- struct{}{}:
		return func() { <-schedulerRole.largeSyncs }, nil
	case <-ctx.Done():
		return nil, acceptor.ErrNoRoom.New("%d large sync requests are in progress", maxLargeSyncs)
	}
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

// evictMessage is the wire format of a request to evict a task.
type evictMessage struct {
	Task   scheduler.TaskID `cbor:"task"`
	Reason string           `cbor:"reason"`
}

// evict evicts a task if this VM holds the leader lease, and otherwise forwards the request to the leader.
func (schedulerRole *schedulerRole) evict(ctx context.Context, task scheduler.TaskID, reason string) error {
	if schedulerRole.group.HoldsLeaderLease() {
		return schedulerRole.engine.Evict(ctx, task, reason)
	}
	body, err := cbor.Marshal(evictMessage{Task: task, Reason: reason})
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = schedulerRole.callLeader(ctx, kindEvict, body)
	return err
}

func (schedulerRole *schedulerRole) handleEvict(ctx context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	var message evictMessage
	if err := cbor.Unmarshal(body, &message); err != nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
	}
	return nil, schedulerRole.engine.Evict(ctx, message.Task, message.Reason)
}
