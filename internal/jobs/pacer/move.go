package pacer

import "time"

// MaxPause is how long a fill task may be paused before it is moved to another worker. It is meant for serving tasks whose
// loads rise at different times: another worker has room while this one has none, and the whole step of a paused task
// waits for it. It covers a short burst of load, because a move costs the time to save and restore the progress.
const MaxPause = 700 * time.Millisecond
