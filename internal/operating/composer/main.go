package composer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/internal/operating/authenticator"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/operating/rejoiner"
	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
	"github.com/crocusplank/crocusplank/internal/operating/versioner"
)

// Exit codes of the daemon.
const (
	exitOK      = 0
	exitFailure = 1
	// exitSettings tells process supervisors that a restart fails until the settings have been corrected.
	exitSettings = 2
)

// Main executes the daemon's command line and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	root := Command()
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	var faults *loader.SettingsError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &faults):
		_, _ = fmt.Fprintln(stderr, err)
		return exitSettings
	case supervisor.IsFatal(err):
		_, _ = fmt.Fprintln(stderr, "error:", err)
		return supervisor.ExitCode
	default:
		_, _ = fmt.Fprintln(stderr, "error:", err)
		return exitFailure
	}
}

// Command returns the root command of the daemon's command line.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use: "crocusplankd", Short: "Run an entry VM of crocusplank", SilenceUsage: true, SilenceErrors: true,
		Long: "Run an entry VM of crocusplank.\n\nExit codes: 0 done, 1 failure, 2 faults in the settings,\n" +
			"3 a part of the VM cannot run again, for example because its data folder is damaged.",
	}
	root.AddCommand(runCommand(), initCommand(), checkCommand(), tokenCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) { command.Println(versioner.Version()) },
	})
	return root
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "List all faults of a settings file and start nothing", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if _, err := loader.Load(arguments[0]); err != nil {
				return err
			}
			command.Println(arguments[0] + ": no faults")
			return nil
		},
	}
}

func initCommand() *cobra.Command {
	return &cobra.Command{
		Use: "init FILE", Short: "Create the data folder of a VM with a disk when a system is set up",
		Long: "Create the data folder of a VM with a disk when a system is set up. It is run once per VM.\n" +
			"A VM that has lost its disk is not initialised again: it is started with an empty data folder\n" +
			"and rejoins its groups as a new replica.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			settings, err := loader.Load(arguments[0])
			if err != nil {
				return err
			}
			if err := Init(settings); err != nil {
				return err
			}
			command.Println("data folder of VM " + string(settings.VM) + " is ready")
			return nil
		},
	}
}

func tokenCommand() *cobra.Command {
	return &cobra.Command{
		Use: "token", Short: "Print a new token and the hash for the file of tokens", Args: cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			token, hash := authenticator.NewToken()
			command.Println("token: ", token)
			command.Println("sha256:", hash)
		},
	}
}

func runCommand() *cobra.Command {
	return &cobra.Command{
		Use: "run FILE", Short: "Run the VM until SIGTERM or SIGINT", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			settings, err := loader.Load(arguments[0])
			if err != nil {
				return err
			}
			return run(settings, NewLogger(settings, command.ErrOrStderr()))
		},
	}
}

// NewLogger returns a logger with the level and format of the settings.
func NewLogger(settings *loader.Settings, writer io.Writer) zerolog.Logger {
	if settings.Log.Format == "console" {
		writer = zerolog.ConsoleWriter{Out: writer, NoColor: true}
	}
	level, err := zerolog.ParseLevel(settings.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(writer).Level(level).With().Timestamp().Str("vm", string(settings.VM)).Logger()
}

// run runs the daemon until SIGTERM or SIGINT and then stops it gracefully. A second signal, or the stop timeout of
// the settings, cuts the graceful stop short.
func run(settings *loader.Settings, log zerolog.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	daemon, err := build(settings, log)
	if err != nil || daemon == nil {
		return err
	}
	if err := daemon.Start(context.Background()); err != nil {
		return err
	}
	select {
	case received := <-signals:
		log.Info().Str("event", "daemonStopping").Str("signal", received.String()).
			Msg("received a signal; stopping gracefully")
	case <-daemon.Failed():
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.Limits.StopTimeout)
	defer cancel()
	go func() {
		<-signals
		log.Warn().Str("event", "daemonStopNow").Msg("received a second signal; requests in progress are cancelled")
		cancel()
	}()
	daemon.environment.parts.BoundStop(settings.Limits.StopTimeout)
	stopErr := daemon.Stop(ctx)
	if err := daemon.Err(); err != nil {
		log.Error().Str("event", "processFailed").Int("exitCode", supervisor.ExitCode).Err(err).
			Msg("the process ends because of a part that cannot run again")
		return err
	}
	return stopErr
}

// build builds the daemon. While the disk refuses what that needs, it waits; the result is nil if SIGTERM or SIGINT ends
// the wait.
func build(settings *loader.Settings, log zerolog.Logger) (*Daemon, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var daemon *Daemon
	err := rejoiner.AwaitDisk(ctx, supervisor.New(supervisor.WithLogger(log)), func() (err error) {
		daemon, err = New(settings, log)
		return err
	})
	if err != nil && ctx.Err() != nil {
		log.Info().Str("event", "daemonStopped").Err(err).Msg("stopped while the disk refused the start")
		return nil, nil
	}
	return daemon, err
}
