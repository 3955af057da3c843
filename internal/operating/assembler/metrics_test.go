package assembler

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Guards against a VM of a domain whose outage and disk usage no gauge shows, and against such gauges of VMs without
// state.
func TestGaugesOfTheGroup(t *testing.T) {
	peer := netip.MustParseAddrPort("127.0.0.1:7000")
	tests := map[string]struct {
		folder string
		want   bool
	}{
		"holds state":    {t.TempDir(), true},
		"holds no state": {"", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			vm, err := New(Settings{
				Name: "core", Peer: peer, Seeds: []netip.AddrPort{peer}, DataFolder: test.folder, BootstrapDomain: true,
				LeaseDuration: time.Second, HeartbeatInterval: time.Second, StopTimeout: time.Second,
			}, Dependencies{Logger: zerolog.Nop(), Scope: tally.NoopScope})
			if err != nil {
				t.Fatal(err)
			}
			scope := tally.NewTestScope("", nil)
			vm.UpdateMetrics(scope)
			gauges := scope.Snapshot().Gauges()
			for _, gauge := range []string{"group_out_seconds", "group_folder_bytes", "group_log_bytes"} {
				if _, got := gauges[gauge+"+group=domain"]; got != test.want {
					t.Errorf("%s: got set %t, want %t", gauge, got, test.want)
				}
			}
			if !test.want {
				return
			}
			if got := gauges["group_folder_bytes+group=domain"].Value(); got <= 0 {
				t.Errorf("got %v bytes in the folder, want more", got)
			}
			if err := vm.rejoiner.Close(); err != nil {
				t.Fatal(err)
			}
		})
	}
}
