package commander

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"os"

	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"
)

// readDocument decodes a file of JSON with comments into value; "-" is standard input. Unknown keys
// are rejected, since a misspelt key would otherwise be ignored silently.
func readDocument(command *cobra.Command, path string, value any) error {
	data, err := readInput(command, path)
	if err != nil {
		return newUsageError("read %s: %v", path, err)
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return newUsageError("%s: %v", path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return newUsageError("%s: %v", path, err)
	}
	return nil
}

func readInput(command *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(command.InOrStdin())
	}
	return os.ReadFile(path) //nolint:gosec // The operator names the file.
}

// contentID derives an ID from a hash of the request, so that running the same command again sends the same
// ID without state on the operator's machine.
func contentID(content any) (string, error) {
	data, err := json.Marshal(content)
	if err != nil {
		return "", Error.Wrap(err)
	}
	sum := sha256.Sum256(data)
	return "c-" + hex.EncodeToString(sum[:12]), nil
}
