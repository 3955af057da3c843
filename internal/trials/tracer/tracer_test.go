package tracer

import (
	"fmt"
	"strings"
	"testing"
)

// sample is the log of one job with two steps: a task of the first step is stopped and placed again.
const sample = `not a log line
  0.0100 core-1 {"event":"leadershipTaken","vm":"core-1","term":3,"time":1000}
  0.1000 core-1 {"event":"jobSubmitted","vm":"core-1","job":"a","queue":"q","work":4000,"status":"done","time":1100}
{"event":"jobSubmitted","job":"b","queue":"q","work":9000,"status":"refused","reason":"no room","time":1100}
{"event":"tasksPlaced","job":"a","step":0,"tasks":2,"again":0,"waited":50,"time":1150}
{"event":"attemptEnded","run":"a/0/0/1#1","worker":"w","kind":"stopped","reason":"paused","checkpoint":true,"fill":true,"milliCores":2000,"starting":10,"running":3000,"heldBack":1000,"recording":5,"time":4200}
{"event":"tasksPlaced","job":"a","step":0,"tasks":1,"again":1,"waited":700,"time":4900}
{"event":"stepEnded","job":"a","step":0,"tasks":2,"fill":true,"milliCores":1000,"starting":40,"running":4000,"heldBack":1000,"recording":20,"time":6000}
{"event":"tasksPlaced","job":"a","step":1,"tasks":1,"again":0,"waited":30,"time":6030}
{"event":"jobEnded","job":"a","queue":"q","state":"completed","took":7000,"time":8100}
{"event":"load","vm":"core-1","predicted":4,"bias":0.5,"meanError":0.6,"time":8200}
{"event":"load","vm":"core-1","predicted":12,"bias":0.1,"meanError":0.2,"time":9000}
{"event":"stepEnded","tasks":"malformed"}
`

func readSample(t *testing.T, log string) *Trace {
	t.Helper()
	trace := New()
	if err := trace.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	trace.observeEvents()
	return trace
}

// Guards against time or work that is counted in the wrong stage, and against a malformed line that ends the reading.
func TestStages(t *testing.T) {
	trace := readSample(t, sample)
	want := stageSums{
		placed: 4, again: 1, finished: 2, first: 0.1, between: 0.03, resume: 0.7,
		starting: 0.04, working: 3, heldBack: 1, recording: 0.02,
	}
	if got := *trace.stages["q"]; got != want {
		t.Errorf("got stages %+v, want %+v", got, want)
	}
	stopped := attemptSums{count: 1, fill: 1, checkpoints: 1, coreSeconds: 4, heldBack: 1}
	if got := *trace.attempts[attemptGroup{kind: "stopped", reason: "paused"}]; got != stopped {
		t.Errorf("got stopped attempts %+v, want %+v", got, stopped)
	}
	if got, want := *trace.leaderships[0], (leadership{vm: "core-1", term: 3, taken: 1000, idle: -1, first: 150}); got != want {
		t.Errorf("got leadership %+v, want %+v", got, want)
	}
	if got, want := per(trace.prediction.biasSum, trace.prediction.predicted), 0.2; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("got bias %g, want %g", got, want)
	}
	if got, want := trace.malformed, 1; got != want {
		t.Errorf("got %d malformed lines, want %d", got, want)
	}
}

// Guards against failures by chance, or of a task, that are attributed to the worker.
func TestFailureCauses(t *testing.T) {
	line := func(task, worker string, time int) string {
		return fmt.Sprintf(`{"event":"attemptEnded","run":"%s#1","worker":"%s","kind":"failed","time":%d}`+"\n", task, worker, time)
	}
	tests := map[string]struct {
		log  string
		want cause
	}{
		"once":            {log: line("a/0/0/0", "w", 0), want: causeSingle},
		"severalWorkers":  {log: line("a/0/0/0", "u", 0) + line("a/0/0/0", "v", 9) + line("a/0/0/0", "w", 18), want: causeTask},
		"burstOnWorker":   {log: failuresOnWorker(line, 100), want: causeWorker},
		"spreadOnAWorker": {log: failuresOnWorker(line, 5000), want: causeSingle},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			trace := readSample(t, test.log)
			if got := trace.failures.cause(trace.failures.events[0]); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func failuresOnWorker(line func(task, worker string, time int) string, interval int) string {
	var log strings.Builder
	for position := range minWorkerFailures {
		log.WriteString(line(fmt.Sprintf("a/0/0/%d", position), "w", position*interval))
	}
	return log.String()
}

// Guards against tables that omit refused jobs or that fail for a log without events.
func TestPrintTables(t *testing.T) {
	var text strings.Builder
	if err := readSample(t, sample).PrintTables(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"| q | 1 | 1 | 0 | 0 | 0 | 0.05 | 0.05 | 0.05 | 7.00 | 7.00 | 7.00 |",
		"| q | refused | no room | 1 |",
		"| q | stopped | 1 | 0.05 | 0.00 | 3.75 | 1.10 | 4.90 | 4.90 | 4.90 |",
		"| q | 10 | 9.0 | 1 | 1 | 0 | 0 | 0.00 | 0.00 |",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("got tables without %q:\n%s", want, text.String())
		}
	}
	if err := New().PrintTables(&text); err != nil {
		t.Error(err)
	}
}

// Guards against times that are counted from the wrong event because the log of the second leader was read first.
func TestOrderOfLogs(t *testing.T) {
	first := `{"event":"leadershipTaken","vm":"a","term":1,"time":1000}
{"event":"tasksPlaced","job":"j","tasks":1,"waited":100,"time":2000}
`
	second := `{"event":"leadershipTaken","vm":"b","term":2,"time":5000}
{"event":"tasksPlaced","job":"j","tasks":1,"again":1,"waited":50,"time":6000}
`
	var tables [2]strings.Builder
	for position, logs := range [][]string{{first, second}, {second, first}} {
		trace := New()
		for _, log := range logs {
			if err := trace.Read(strings.NewReader(log)); err != nil {
				t.Fatal(err)
			}
		}
		if err := trace.PrintTables(&tables[position]); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := tables[1].String(), tables[0].String(); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
