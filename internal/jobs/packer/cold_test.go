package packer

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against tasks on workers that have just started while equally good warm ones are free, and against warm workers
// that are preferred to a better score.
func TestColdWorkers(t *testing.T) {
	tests := map[string]struct {
		free []int64
		cold []time.Duration
		want []scheduler.WorkerName
	}{
		"all warm":                     {[]int64{4, 4}, []time.Duration{0, 0}, []scheduler.WorkerName{"w0"}},
		"warm worker":                  {[]int64{4, 4}, []time.Duration{time.Second, 0}, []scheduler.WorkerName{"w1"}},
		"the worker that is warm soon": {[]int64{4, 4}, []time.Duration{2, 1}, []scheduler.WorkerName{"w1"}},
		"better score":                 {[]int64{3, 4}, []time.Duration{time.Second, 0}, []scheduler.WorkerName{"w0"}},
		"cold rather than no worker":   {[]int64{4, 0}, []time.Duration{time.Second, 0}, []scheduler.WorkerName{"w0"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := workers(test.free...)
			for position, remaining := range test.cold {
				list[position].ColdRemaining = remaining
			}
			var got []scheduler.WorkerName
			for _, assignment := range Pack(list, []Group{group(scheduler.Step{Count: 1, Request: cores(2)})}) {
				got = append(got, assignment.Worker)
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
