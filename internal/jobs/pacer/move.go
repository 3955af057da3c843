package pacer

import "time"

const (
	// maxPause is how long a fill task may be paused before it is moved to a worker on which it can run.
	maxPause = 1500 * time.Millisecond
	// maxPauseWhileWaiting is the same limit while no worker accepts tasks of its image. It covers the peak of a load that
	// swings within ten seconds. Beyond that, the load of the worker may stay high.
	maxPauseWhileWaiting = 5 * time.Second
)

// MaxPause returns how long a fill task may be paused before it is moved to another worker. othersWait is true if tasks
// of the same image wait for a worker. It is meant for more fill tasks than the serving tasks tolerate: a task that is
// stopped then waits behind the others for a worker, and its step for it, whereas a paused task resumes when the load
// of its worker falls.
func MaxPause(othersWait bool) time.Duration {
	if othersWait {
		return maxPauseWhileWaiting
	}
	return maxPause
}
