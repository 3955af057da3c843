package assembler

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/state/budgeter"
)

// Guards against a size of the disk that leaves no room for a log.
func TestDiskBytes(t *testing.T) {
	tests := map[string]struct {
		folder string
		bytes  int64
		want   string
	}{
		"default":   {"/data", 0, ""},
		"smallest":  {"/data", budgeter.MinRoom, ""},
		"too small": {"/data", budgeter.MinRoom - 1, "diskBytes is 16777215, want 0 or 16777216 to"},
		"negative":  {"/data", -1, "diskBytes is -1"},
		"too large": {"/data", budgeter.MaxRoom + 1, "diskBytes is"},
		"no disk":   {"", 1, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peer := netip.MustParseAddrPort("127.0.0.1:7000")
			settings := Settings{
				Name: "couva-1", Peer: peer, Seeds: []netip.AddrPort{peer}, DataFolder: test.folder, DiskBytes: test.bytes,
				LeaseDuration: time.Second, HeartbeatInterval: time.Second, StopTimeout: time.Second,
			}
			got := ""
			if err := settings.Validate(); err != nil {
				got = err.Error()
			}
			if !strings.HasPrefix(got, test.want) || (got == "") != (test.want == "") {
				t.Errorf("got error %q, want %q", got, test.want)
			}
		})
	}
}
