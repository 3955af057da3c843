package encoder

import (
	"errors"
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init fixes the seed, so that CI gives the same result in every run; -rapid.seed overrides it.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
}

// Guards against times that lose the fraction of a second: a job that is due half a second past would start early.
func TestTimesKeepTheirPrecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := time.Unix(
			rapid.Int64Range(0, 1<<33).Draw(t, "seconds"), rapid.Int64Range(0, 999_999_999).Draw(t, "nanoseconds"),
		)
		data, err := Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		var got time.Time
		if err := Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if !got.Equal(want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// Guards against logs and snapshots of earlier versions that cannot be decoded.
func TestTimesOfEarlierVersions(t *testing.T) {
	tests := map[string]struct {
		data []byte
		want time.Time
	}{
		"whole seconds": {data: []byte{0x1a, 0x69, 0x31, 0x2c, 0x80}, want: time.Unix(0x69312c80, 0)},
		"no time":       {data: []byte{0xf6}, want: time.Time{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got time.Time
			if err := Unmarshal(test.data, &got); err != nil {
				t.Fatal(err)
			}
			if !got.Equal(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
