package tracer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
)

// event holds the fields of the log events that a trace uses. Times in it are in milliseconds.
type event struct {
	Name string `json:"event"`
	VM   string `json:"vm"`
	Time int64  `json:"time"`
	Term uint64 `json:"term"`

	Job    string  `json:"job"`
	Queue  string  `json:"queue"`
	Status string  `json:"status"`
	Reason string  `json:"reason"`
	State  string  `json:"state"`
	Work   int64   `json:"work"`
	Took   float64 `json:"took"`

	Occurrence int     `json:"occurrence"`
	Step       int     `json:"step"`
	Tasks      int     `json:"tasks"`
	Again      int     `json:"again"`
	Waited     float64 `json:"waited"`

	Run        string `json:"run"`
	Worker     string `json:"worker"`
	Kind       string `json:"kind"`
	Fill       bool   `json:"fill"`
	Checkpoint bool   `json:"checkpoint"`
	MilliCores int64  `json:"milliCores"`
	Starting   int64  `json:"starting"`
	Running    int64  `json:"running"`
	HeldBack   int64  `json:"heldBack"`
	Recording  int64  `json:"recording"`

	Capacity              int64   `json:"capacity"`
	Reserved              int64   `json:"reserved"`
	Fills                 int     `json:"fills"`
	Held                  int     `json:"held"`
	ReadyFill             int     `json:"readyFill"`
	ServingSamples        int     `json:"servingSamples"`
	AboveTarget           int     `json:"aboveTarget"`
	AboveTargetBesideFill int     `json:"aboveTargetBesideFill"`
	Predicted             int     `json:"predicted"`
	Missed                int     `json:"missed"`
	FalseAlarms           int     `json:"falseAlarms"`
	Bias                  float64 `json:"bias"`
	MeanError             float64 `json:"meanError"`
}

// coreSeconds returns the CPU time that the attempts of an event had, without the time that throttling took from them.
func (event *event) coreSeconds() float64 {
	return float64(event.Running-event.HeldBack) / milliseconds * float64(event.MilliCores) / milliCores
}

const (
	// milliseconds is the number of milliseconds in a second, milliCores that of millicores in a core.
	milliseconds = 1000
	milliCores   = 1000
	// maxLineBytes is the length of a line beyond which reading ends with an error. Stack traces are the longest lines.
	maxLineBytes = 4 << 20
)

// readEvents returns the events for which there is an observer. Text before the first brace of a line is ignored, and so
// are lines without an event. malformed is the number of lines that look like an event and cannot be decoded.
func readEvents(reader io.Reader) (events []*event, malformed int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		brace := bytes.IndexByte(line, '{')
		if brace < 0 {
			continue
		}
		var name struct {
			Event string `json:"event"`
		}
		if json.Unmarshal(line[brace:], &name) != nil {
			malformed++
			continue
		}
		if observers[name.Event] == nil {
			continue
		}
		decoded := &event{}
		if json.Unmarshal(line[brace:], decoded) != nil {
			malformed++
			continue
		}
		events = append(events, decoded)
	}
	return events, malformed, Error.Wrap(scanner.Err())
}
