// Package stager runs the project's own programs as separate processes on loopback addresses, beside small stand-ins for
// the runners, the clients and the operator of the users' platform. The cases of the second review are built on it.
package stager

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Recorder writes what was sent, answered and run to record.txt. It is safe for concurrent use.
type Recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecorder creates record.txt in a folder.
func NewRecorder(folder string) (*Recorder, error) {
	file, err := os.Create(filepath.Join(filepath.Clean(folder), "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Recorder{file: file, start: time.Now()}, nil
}

// Elapsed returns the time since the recording began.
func (recorder *Recorder) Elapsed() time.Duration { return time.Since(recorder.start) }

// Write writes a line with the time since the recording began.
func (recorder *Recorder) Write(format string, arguments ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	// A line that cannot be written is missing from the record only; the verdict does not depend on it.
	_, _ = fmt.Fprintf(recorder.file, "%8.3f s  %s\n", recorder.Elapsed().Seconds(), fmt.Sprintf(format, arguments...))
}

// Close closes the file.
func (recorder *Recorder) Close() error { return recorder.file.Close() }
