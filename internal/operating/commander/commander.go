// Package commander implements the operators' command line.
package commander

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("crocusplank")

const defaultTimeout = 15 * time.Second

// Commander builds the command tree. It must be used only once and from one goroutine.
type Commander struct {
	version       string
	extraCommands []*cobra.Command

	servers     []string
	tokenFile   string
	caFile      string
	contextFile string
	contextName string
	output      outputFormat
	timeout     time.Duration
	yes         bool
}

// Option configures a Commander.
type Option func(commander *Commander)

// WithVersion sets the version that the version command prints.
func WithVersion(version string) Option {
	return func(commander *Commander) { commander.version = version }
}

// WithCommand adds a subcommand to the root command, such as a demo or an experiment.
func WithCommand(command *cobra.Command) Option {
	return func(commander *Commander) { commander.extraCommands = append(commander.extraCommands, command) }
}

// New returns a Commander.
func New(options ...Option) *Commander {
	commander := &Commander{version: "unknown"}
	for _, option := range options {
		option(commander)
	}
	return commander
}

// Command returns the root command.
func (commander *Commander) Command() *cobra.Command {
	root := &cobra.Command{
		Use:           "crocusplank",
		Short:         "Operate a crocusplank deployment",
		Long:          "Operate a crocusplank deployment.\n\n" + exitCodeHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&commander.servers, "server", nil, "API addresses of entry VMs, IP:port; the first that answers is used")
	flags.StringVar(&commander.tokenFile, "token-file", "", "file that holds the token")
	flags.StringVar(&commander.caFile, "ca-file", "", "CA certificate of the servers; the connection is encrypted when it is set")
	flags.StringVar(&commander.contextFile, "context-file", defaultContextFile(), "file with the deployments' contexts")
	// The help text must not depend on the machine, because a test compares docs/operating/commands.md with it.
	flags.Lookup("context-file").DefValue = "crocusplank/contexts.json in the user's configuration folder"
	flags.StringVar(&commander.contextName, "context", "", "context to use in place of the file's current one")
	flags.VarP(&commander.output, "output", "o", "output format: table, whose long cells are cut, or json, which is whole")
	flags.DurationVar(&commander.timeout, "timeout", defaultTimeout, "time limit of one command without --wait")
	flags.BoolVarP(&commander.yes, "yes", "y", false, "do not ask before work is evicted")
	root.AddCommand(
		commander.jobCommand(), commander.configurationCommand(), commander.inventoryCommand(), commander.workerCommand(),
		commander.endpointCommand(), commander.vmCommand(), commander.replicaCommand(),
		commander.auditCommand(), commander.statusCommand(), commander.evictionCommand(),
		commander.explainCommand(), commander.contextCommand(), commander.versionCommand(),
	)
	root.AddCommand(commander.extraCommands...)
	commander.addCompletions(root)
	return root
}

// Run executes the command line and returns the exit code. Errors are written to stderr.
func (commander *Commander) Run(arguments []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := commander.Command()
	root.SetArgs(arguments)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	failure := newFailure(err)
	_, _ = fmt.Fprint(stderr, failure.text())
	return failure.exitCode()
}

func (commander *Commander) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(command.OutOrStdout(), commander.version)
			return err
		},
	}
}
