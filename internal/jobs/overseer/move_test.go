package overseer

import (
	"maps"
	"testing"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a paused fill task that is stopped although no worker accepts its image, and against one that is kept
// because tasks of other images or pools wait.
func TestWaitingImages(t *testing.T) {
	task := func(step, index int) scheduler.StepTaskID {
		return scheduler.StepTaskID{Job: "a", Step: step, Index: index}
	}
	groups := []packer.Group{
		{Step: &scheduler.Step{Fill: true, Image: "press"}, Tasks: []scheduler.StepTaskID{task(0, 0), task(0, 1)}},
		{Step: &scheduler.Step{Image: "chart"}, Tasks: []scheduler.StepTaskID{task(1, 0)}},
	}
	tests := map[string]struct {
		assignments []packer.Assignment
		want        map[poolImage]bool
	}{
		"allAssigned": {
			assignments: []packer.Assignment{{Task: task(0, 0)}, {Task: task(0, 1)}}, want: map[poolImage]bool{},
		},
		"oneWaits": {
			assignments: []packer.Assignment{{Task: task(0, 0)}, {Task: task(1, 0)}},
			want:        map[poolImage]bool{{pool: "plank", image: "press"}: true},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leadership := &leadership{waitingImages: map[poolImage]bool{}}
			leadership.recordWaitingImages("plank", groups, test.assignments)
			if got := leadership.waitingImages; !maps.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
