// Command crocusplank is the command-line client for operators.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/internal/operating/commander"
	"github.com/crocusplank/crocusplank/internal/operating/versioner"
	"github.com/crocusplank/crocusplank/internal/trials/demonstrator"
	"github.com/crocusplank/crocusplank/internal/trials/emulator"
	"github.com/crocusplank/crocusplank/internal/trials/experimenter"
	"github.com/crocusplank/crocusplank/internal/trials/sizer"
	"github.com/crocusplank/crocusplank/internal/trials/tracer"
)

func main() {
	os.Exit(newCommander().Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

func newCommander() *commander.Commander {
	return commander.New(
		commander.WithVersion(versioner.Version()),
		commander.WithCommand(demonstrator.Command()),
		commander.WithCommand(experimentCommand()),
		commander.WithCommand(emulator.Command()),
		commander.WithCommand(tracer.Command()),
	)
}

func experimentCommand() *cobra.Command {
	parent := &cobra.Command{Use: "experiment", Short: "Run experiments on stand-ins"}
	parent.AddCommand(experimenter.Command(), sizer.Command())
	return parent
}
