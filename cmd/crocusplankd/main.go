// Command crocusplankd is the daemon of an entry VM.
package main

import (
	"os"

	"github.com/crocusplank/crocusplank/internal/operating/composer"
)

func main() {
	os.Exit(composer.Main(os.Args[1:], os.Stdout, os.Stderr))
}
