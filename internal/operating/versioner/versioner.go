// Package versioner tells which version of the code a program was built from.
package versioner

import "runtime/debug"

// Version returns the module's version and the Go version, from what the Go tool records in a program.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}
