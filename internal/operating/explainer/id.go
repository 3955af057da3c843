package explainer

import (
	"strconv"
	"strings"

	"github.com/crocusplank/crocusplank/internal/jobs/handler"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// taskIDParts is the number of parts of a task's ID: the job, the occurrence, the step and the index.
const taskIDParts = 4

// ParseID returns the request for the ID of a job, a task ("job/occurrence/step/index") or an attempt
// ("job/occurrence/step/index#attempt"), as logs show them. For an attempt, its task is meant. The error has the class
// ErrInvalid.
func ParseID(text string) (handler.ExplainWaitRequest, error) {
	parts := strings.Split(text, "/")
	if len(parts) == 1 && text != "" {
		return handler.ExplainWaitRequest{Job: scheduler.JobID(text)}, nil
	}
	if len(parts) != taskIDParts || parts[0] == "" {
		return handler.ExplainWaitRequest{}, invalidID(text)
	}
	index, attempt, hasAttempt := strings.Cut(parts[3], "#")
	if _, err := strconv.ParseUint(attempt, 10, 64); hasAttempt && err != nil {
		return handler.ExplainWaitRequest{}, invalidID(text)
	}
	parts[3] = index
	var numbers [taskIDParts - 1]int
	for position := range numbers {
		number, err := strconv.Atoi(parts[position+1])
		if err != nil || number < 0 {
			return handler.ExplainWaitRequest{}, invalidID(text)
		}
		numbers[position] = number
	}
	job := scheduler.JobID(parts[0])
	return handler.ExplainWaitRequest{Job: job, Task: &scheduler.StepTaskID{
		Job: job, Occurrence: numbers[0], Step: numbers[1], Index: numbers[2],
	}}, nil
}

func invalidID(text string) error {
	return ErrInvalid.New("%q is neither the ID of a job nor of a task; a task has the form JOB/OCCURRENCE/STEP/INDEX", text)
}
