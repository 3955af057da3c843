// Package encoder encodes and decodes CBOR with the options that the replicated state and the messages between VMs use.
// Its functions are safe for concurrent use.
package encoder

import (
	"io"

	"github.com/fxamacker/cbor/v2"
)

// maxElements is the maximum number of elements of an array. The default of the library, 131,072, is too low for a burst
// of cancellations or for the inventory of a large fleet.
const maxElements = 1 << 22

// encMode encodes deterministically, because digests are calculated over encoded documents. Times are encoded with
// nanoseconds; the default of the library drops the fraction of a second. decMode accepts both formats.
var encMode = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // Only invalid constant options can cause this error.
	}
	return mode
}()

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
	if err != nil {
		panic(err) // Only invalid constant options can cause this error.
	}
	return mode
}()

// Marshal returns the deterministic CBOR encoding of a value.
func Marshal(value any) ([]byte, error) { return encMode.Marshal(value) }

// Unmarshal decodes data into the value that a pointer points to.
func Unmarshal(data []byte, value any) error { return decMode.Unmarshal(data, value) }

// NewEncoder returns an encoder that writes deterministic encodings to writer.
func NewEncoder(writer io.Writer) *cbor.Encoder { return encMode.NewEncoder(writer) }

// NewDecoder returns a decoder that reads from reader.
func NewDecoder(reader io.Reader) *cbor.Decoder { return decMode.NewDecoder(reader) }
