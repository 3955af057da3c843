// Command crocusplank is the operators' command line.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/internal/commander"
	"github.com/crocusplank/crocusplank/internal/demonstrator"
	"github.com/crocusplank/crocusplank/internal/emulator"
	"github.com/crocusplank/crocusplank/internal/experimenter"
	"github.com/crocusplank/crocusplank/internal/versioner"
)

func main() {
	command := commander.New(
		commander.WithVersion(versioner.Version()),
		commander.WithCommand(demonstrator.Command()),
		commander.WithCommand(experimentCommand()),
		commander.WithCommand(emulator.Command()),
	)
	os.Exit(command.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

func experimentCommand() *cobra.Command {
	command := &cobra.Command{Use: "experiment", Short: "Measure the decisions on stand-ins, without a deployment"}
	command.AddCommand(experimenter.Command())
	return command
}
