// Command crocusplank is the operators' command line.
package main

import (
	"os"

	"github.com/crocusplank/crocusplank/internal/commander"
	"github.com/crocusplank/crocusplank/internal/demonstrator"
	"github.com/crocusplank/crocusplank/internal/versioner"
)

func main() {
	command := commander.New(
		commander.WithVersion(versioner.Version()),
		commander.WithCommand(demonstrator.Command()),
	)
	os.Exit(command.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
