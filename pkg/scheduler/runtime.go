package scheduler

import "time"

// TaskKind identifies tasks that are expected to take a similar time: the tasks of a queue that run the same image.
type TaskKind struct {
	queue QueueName
	image string
}

// NewTaskKind returns the kind of a queue's tasks that run an image. The image may be empty.
func NewTaskKind(queue QueueName, image string) TaskKind {
	return TaskKind{queue: queue, image: image}
}

// Queue returns the queue of the tasks.
func (taskKind TaskKind) Queue() QueueName { return taskKind.queue }

// Image returns the image of the tasks.
func (taskKind TaskKind) Image() string { return taskKind.image }

// RunTimePredictor predicts how long tasks run. A prediction is the given quantile, from 0 to 1, of the run times
// of tasks of the kind that have ended. They apply to a healthy worker near the data and exclude waiting time. For a
// kind of which too few tasks have ended, a prediction is the submitter's estimate.
type RunTimePredictor interface {
	// RunTime returns a quantile of the run time of a task with the given estimate.
	RunTime(kind TaskKind, estimate time.Duration, quantile float64) time.Duration
	// Remaining returns a quantile of the time until a task ends that has been running for elapsed. It is positive even
	// if the task has run longer than any task before.
	Remaining(kind TaskKind, estimate, elapsed time.Duration, quantile float64) time.Duration
}
