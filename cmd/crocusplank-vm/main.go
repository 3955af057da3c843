// Command crocusplank-vm runs one VM of a crocusplank domain on the host platform.
package main

import (
	"os"

	"github.com/crocusplank/crocusplank/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
