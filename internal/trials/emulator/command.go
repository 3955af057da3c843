package emulator

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fleet holds the flags of the emulate command: the workers and endpoints to run.
type fleet struct {
	gateways         []string
	workers          []string
	endpoints        int
	service          string
	dataCentre       string
	slots            int
	serviceTime      time.Duration
	checkpointPeriod time.Duration
	crashKind        string
	crashAfter       time.Duration
}

// Command returns the command that runs emulated workers and endpoints against a deployment, for tests without
// real ones.
func Command() *cobra.Command {
	fleet := fleet{}
	command := &cobra.Command{
		Use:   "emulate --gateway IP:PORT[,IP:PORT...] --data-centre NAME",
		Short: "Run emulated workers and endpoints until interrupted",
		Long: "Run emulated workers and endpoints until interrupted. Workers run tasks that only take time;\n" +
			"endpoints echo requests. Only loopback addresses make sense for a trial.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return fleet.run(ctx, command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&fleet.gateways, "gateway", nil, "callers' addresses of the data centre's entry VMs")
	flags.StringSliceVar(&fleet.workers, "worker", nil, "names of the workers to emulate, as in the inventory")
	flags.IntVar(&fleet.endpoints, "endpoints", 0, "number of endpoints to emulate")
	flags.StringVar(&fleet.service, "service", "", "service of the endpoints")
	flags.StringVar(&fleet.dataCentre, "data-centre", "", "data centre of the endpoints")
	flags.IntVar(&fleet.slots, "slots", 8, "slots of each endpoint")
	flags.DurationVar(&fleet.serviceTime, "work", 20*time.Millisecond, "time that an endpoint takes for a request")
	flags.DurationVar(&fleet.checkpointPeriod, "checkpoint", 10*time.Second, "period of the tasks' checkpoints")
	flags.StringVar(&fleet.crashKind, "crash-kind", "", "kind of the tasks that make their worker crash")
	flags.DurationVar(&fleet.crashAfter, "crash-after", 0, "time from the start of such a task to the crash")
	_ = command.MarkFlagRequired("gateway")
	return command
}

func (fleet *fleet) run(ctx context.Context, out io.Writer) error {
	if fleet.endpoints > 0 && (fleet.service == "" || fleet.dataCentre == "") {
		return Error.New("--endpoints requires --service and --data-centre")
	}
	for _, name := range fleet.workers {
		worker := NewWorker(scheduler.WorkerName(name), NewFailoverExchange(fleet.gateways), WithCheckpointPeriod(fleet.checkpointPeriod))
		worker.SetFaults(Faults{CrashKind: fleet.crashKind, CrashAfter: fleet.crashAfter})
		go worker.Run(ctx)
		_, _ = fmt.Fprintf(out, "worker %s started\n", name)
	}
	for number := 1; number <= fleet.endpoints; number++ {
		name := scheduler.EndpointName(fmt.Sprintf("%s-%s-%d", fleet.dataCentre, fleet.service, number))
		endpoint := NewEndpoint(name, scheduler.ServiceName(fleet.service), scheduler.DataCentreName(fleet.dataCentre), fleet.slots, fleet.serviceTime, fleet.gateways)
		if err := endpoint.Start(ctx, "127.0.0.1:0"); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "endpoint %s listening on %s\n", name, endpoint.Address())
	}
	<-ctx.Done()
	return nil
}
