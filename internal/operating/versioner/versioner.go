// Package versioner returns the version from which the program was built.
package versioner

import "runtime/debug"

// Version returns the versions of the main module and of Go from the build information in the binary.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}
