// Package encoder holds the CBOR modes of the replicated state. Its functions are safe for concurrent
// use.
package encoder

import (
	"io"

	"github.com/fxamacker/cbor/v2"
)

// maxElements allows commands and documents larger than the library's default of 131,072 list elements:
// a burst of cancellations or the inventory of a large fleet.
const maxElements = 1 << 22

// encoding is deterministic, since digests are made of encoded documents. Times keep their nanoseconds; the
// library's default drops the fraction of a second. Decoding takes both forms.
var encoding = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // Only a fault in the constant options can cause it.
	}
	return mode
}()

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
	if err != nil {
		panic(err) // Only a fault in the constant options can cause it.
	}
	return mode
}()

// Marshal returns the deterministic encoding of a value.
func Marshal(value any) ([]byte, error) { return encoding.Marshal(value) }

// Unmarshal decodes data into the value that a pointer leads to.
func Unmarshal(data []byte, value any) error { return decoding.Unmarshal(data, value) }

// NewEncoder returns an encoder that writes deterministic encodings to w.
func NewEncoder(w io.Writer) *cbor.Encoder { return encoding.NewEncoder(w) }

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *cbor.Decoder { return decoding.NewDecoder(r) }
