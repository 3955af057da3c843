package overseer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against refusals while workers are free because more urgent tasks wait for a label that no worker has, and
// against the admission of more jobs than fit on the free workers, or of a job that needs the missing label too.
func TestAdmissionToSpareWorkers(t *testing.T) {
	const jobs = 1000
	tests := map[string]struct {
		label        string
		wantAdmitted bool
	}{
		"fits on free workers": {"", true},
		"needs the label":      {"absent", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1, WithForecastAdmission())
				stop := simulation.start()
				simulation.waitForLabel(200)
				time.Sleep(15 * time.Second)
				leader := simulation.overseers[simulation.domain.leader.Load()]
				admitted := 0
				for job := range jobs {
					workflow := batchWorkflow(1)
					workflow.Steps[0].RequiredLabel = test.label
					if leader.Admit(admitter.Submission{
						Job: scheduler.JobID(fmt.Sprintf("j%d", job)), Queue: &batchQueue, Workflow: workflow,
					}).Admitted() {
						admitted++
					}
				}
				if got := admitted > 0; got != test.wantAdmitted || admitted == jobs {
					t.Errorf("got %d of %d jobs admitted, want some %v, but not all", admitted, jobs, test.wantAdmitted)
				}
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// waitForLabel submits a job of a more urgent queue than batchQueue, whose tasks wait for a label that no worker has.
func (simulation *simulation) waitForLabel(tasks int) {
	urgentQueue := batchQueue
	urgentQueue.Name, urgentQueue.PathPrefix, urgentQueue.Priority = "urgent", "/urgent/", 0
	simulation.apply(jobkeeper.Command{Configure: &scheduler.QueueConfiguration{
		Version: 2, Pools: []scheduler.Pool{{Name: "pool"}}, Queues: []scheduler.Queue{batchQueue, urgentQueue},
	}})
	simulation.apply(jobkeeper.Command{Submit: &jobkeeper.Submit{
		Job: "waiting", Queue: "urgent", Accepted: time.Now(), Workflow: scheduler.Workflow{Steps: []scheduler.Step{{
			Count: tasks, Request: oneCore, Estimate: 100 * time.Second, RequiredLabel: "absent",
		}}},
	}})
}
