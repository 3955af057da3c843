// Package harness runs the programs of the project as separate processes on loopback addresses, with stand-ins for the
// clients, the operator and the runners of the users' platform. The cases of the review are built on it.
package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes what was sent, answered and run to a file. It is safe for concurrent use.
type Recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecorder creates the file, or truncates it.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: file, start: time.Now()}, nil
}

// Printf writes one line, with the time since the start in seconds.
func (recorder *Recorder) Printf(format string, arguments ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	line := fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintf(recorder.file, "%8.3f %s\n", time.Since(recorder.start).Seconds(), line)
}

// Close closes the file.
func (recorder *Recorder) Close() error { return recorder.file.Close() }
