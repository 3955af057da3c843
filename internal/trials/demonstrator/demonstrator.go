// Package demonstrator runs a complete system on loopback addresses in one process and checks the invariants of the
// scheduler against the observed behaviour.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/operating/commander"
	"github.com/crocusplank/crocusplank/internal/operating/composer"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/trials/deployer"
	"github.com/crocusplank/crocusplank/internal/trials/emulator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("demo")

const (
	dataCentre   = scheduler.DataCentreName("couva")
	readyTimeout = 30 * time.Second
	jobTimeout   = 60 * time.Second
	pollInterval = 100 * time.Millisecond
	stopTimeout  = 20 * time.Second
	workerCount  = 3
	// endpointServiceTime is the time that an emulated endpoint takes for a request.
	endpointServiceTime = 10 * time.Millisecond
)

// Demonstrator holds the state of one run of the demo. violations describes the invariants that were broken.
type Demonstrator struct {
	out        io.Writer
	folder     string
	deployment *deployer.Deployment
	daemons    []*composer.Daemon
	workers    []*emulator.Worker
	endpoints  []*emulator.Endpoint
	callers    *emulator.Callers
	violations []string
}

// Command returns the demo command.
func Command() *cobra.Command {
	var folder, logFile string
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole system of six VMs on loopback and check its invariants",
		Long: "Run a whole system of six VMs in three data centres on loopback, in one process and with a\n" +
			"temporary data folder, with emulated workers and endpoints. The command shows what an\n" +
			"operator and callers see, checks the invariants on it, and fails if one was broken.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runDemo(command.Context(), command.OutOrStdout(), folder, logFile)
		},
	}
	command.Flags().StringVar(&folder, "folder", "", "keep settings and state in this folder (default: a temporary one)")
	command.Flags().StringVar(&logFile, "log", "", "write the daemons' logs to this file")
	return command
}

func runDemo(ctx context.Context, out io.Writer, folder, logFile string) error {
	if folder == "" {
		temporary, err := os.MkdirTemp("", "crocusplank-demo-")
		if err != nil {
			return Error.Wrap(err)
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		folder = temporary
	}
	logs := io.Discard
	if logFile != "" {
		file, err := os.Create(logFile) //nolint:gosec // The operator names the file.
		if err != nil {
			return Error.Wrap(err)
		}
		defer func() { _ = file.Close() }()
		logs = zerolog.SyncWriter(file)
	}
	demonstrator := &Demonstrator{out: out, folder: folder}
	return demonstrator.run(ctx, logs)
}

func (demonstrator *Demonstrator) run(ctx context.Context, logs io.Writer) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { err = errs.Combine(err, demonstrator.stop()) }()
	steps := []struct {
		title  string
		action func(ctx context.Context) error
	}{
		{"start six VMs in three data centres", func(ctx context.Context) error { return demonstrator.startVMs(ctx, logs) }},
		{"apply a configuration", demonstrator.applyConfiguration},
		{"start workers and endpoints", demonstrator.startPlatform},
		{"serve callers", demonstrator.serveCallers},
		{"run a batch job and evict one of its tasks", demonstrator.runJob},
		{"stop a VM while it serves requests", demonstrator.stopVM},
		{"remove an endpoint", demonstrator.removeEndpoint},
		{"check the invariants against the records", demonstrator.checkInvariants},
	}
	start := time.Now()
	for number, step := range steps {
		_, _ = fmt.Fprintf(demonstrator.out, "\n== %d. %s (after %.1f s)\n", number+1, step.title, time.Since(start).Seconds())
		if err := step.action(ctx); err != nil {
			return Error.New("%s: %v", step.title, err)
		}
	}
	if len(demonstrator.violations) > 0 {
		return Error.New("%d invariant violations", len(demonstrator.violations))
	}
	return nil
}

func (demonstrator *Demonstrator) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(demonstrator.out, format+"\n", arguments...)
}

func (demonstrator *Demonstrator) startVMs(ctx context.Context, logs io.Writer) error {
	deployment, err := deployer.New(demonstrator.folder, dataCentre, "chaguanas", "claxton-bay")
	if err != nil {
		return err
	}
	demonstrator.deployment = deployment
	for _, vm := range deployment.VMs() {
		settings, err := loader.Load(deployment.SettingsFile(vm.Name))
		if err != nil {
			return err
		}
		if settings.HasDisk() {
			if err := composer.Init(settings); err != nil {
				return err
			}
		}
		daemon, err := composer.New(settings, composer.NewLogger(settings, logs))
		if err != nil {
			return err
		}
		demonstrator.daemons = append(demonstrator.daemons, daemon)
		if err := daemon.Start(ctx); err != nil {
			return err
		}
	}
	if err := demonstrator.waitUntil(ctx, readyTimeout, func() bool {
		for _, daemon := range demonstrator.daemons {
			if !daemon.IsReady() {
				return false
			}
		}
		return true
	}); err != nil {
		return Error.New("VMs did not become ready: %v", err)
	}
	return demonstrator.runAndShow("vm", "show")
}

// waitUntil polls a condition until it holds; it fails after the timeout or when ctx ends.
func (demonstrator *Demonstrator) waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !condition() {
		timer := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return Error.New("condition not met within %v", timeout)
		case <-timer.C:
		}
	}
	return nil
}

// runAndShow runs a crocusplank command and prints the command line and its output.
func (demonstrator *Demonstrator) runAndShow(arguments ...string) error {
	_, err := demonstrator.runCLI(true, arguments...)
	return err
}

// runCLI runs a crocusplank command in this process and returns its output.
func (demonstrator *Demonstrator) runCLI(show bool, arguments ...string) (string, error) {
	if show {
		demonstrator.printf("$ crocusplank %s", strings.Join(arguments, " "))
	}
	var stdout, stderr strings.Builder
	servers := strings.Join(demonstrator.deployment.APIAddresses(dataCentre), ",")
	commandLine := append([]string{"--yes", "--server", servers}, arguments...)
	exitCode := commander.New().Run(commandLine, strings.NewReader(""), &stdout, &stderr)
	if show {
		_, _ = io.WriteString(demonstrator.out, stdout.String())
	}
	if exitCode != 0 {
		return "", Error.New("crocusplank %s exited with code %d: %s", strings.Join(arguments, " "), exitCode, stderr.String())
	}
	return stdout.String(), nil
}

func (demonstrator *Demonstrator) writeFile(name, content string) (string, error) {
	path := filepath.Join(demonstrator.folder, name)
	return path, Error.Wrap(os.WriteFile(path, []byte(content), 0o600))
}

func (demonstrator *Demonstrator) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	results := make(chan error, len(demonstrator.daemons))
	for _, daemon := range demonstrator.daemons {
		go func() { results <- daemon.Stop(ctx) }()
	}
	var group errs.Group
	for range demonstrator.daemons {
		group.Add(<-results)
	}
	return group.Err()
}
