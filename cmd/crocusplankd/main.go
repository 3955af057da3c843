// Command crocusplankd is the daemon that runs on each entry VM.
package main

import (
	"os"

	"github.com/crocusplank/crocusplank/internal/operating/composer"
)

func main() {
	os.Exit(composer.Main(os.Args[1:], os.Stdout, os.Stderr))
}
