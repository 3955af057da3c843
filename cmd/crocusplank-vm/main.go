// Command crocusplank-vm runs a VM of crocusplank on the users' platform.
package main

import (
	"os"

	"github.com/crocusplank/crocusplank/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
