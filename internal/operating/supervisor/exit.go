package supervisor

import "time"

// exitGrace is added to the time of a planned stop before the process is ended without one.
const exitGrace = time.Second

// BoundStop makes the process end with ExitCode if a planned stop does not return in time. It has an effect only after a part has
// failed permanently: what that part waits for may keep the stop waiting as well.
func (supervisor *Supervisor) BoundStop(limit time.Duration) {
	if supervisor.Err() != nil {
		time.AfterFunc(limit+exitGrace, func() { supervisor.exit(ExitCode) })
	}
}
