package composer

import (
	"testing"

	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a gauge of the room of a group that does not follow the settings, or that shows room without a disk.
func TestGroupRoom(t *testing.T) {
	member := func(group scheduler.GroupName) loader.Group {
		return loader.Group{Name: group, Members: []loader.Member{{VM: "couva-1"}}}
	}
	settings := &loader.Settings{
		VM: "couva-1", DataFolder: "/data", Limits: loader.Limits{DiskBytes: 300 << 20},
		Groups: []loader.Group{member("couva"), member("global"), {Name: "chaguanas"}},
	}
	role := &replicaRole{environment: &environment{settings: settings}}
	if got, want := role.groupRoom(), int64(100<<20); got != want {
		t.Errorf("two groups and the audit trail: got %d, want %d", got, want)
	}
	settings.DataFolder = ""
	if got := role.groupRoom(); got != 0 {
		t.Errorf("without a disk: got %d, want 0", got)
	}
}
