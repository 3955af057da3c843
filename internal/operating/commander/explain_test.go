package commander

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// longReason is longer than tableWidth; explain must not truncate it.
var longReason = "urgent work u/1 needs the worker" + strings.Repeat(", and so on", 10)

var explainedJob = `{"id": "run", "team": "cutting", "class": "batch", "kind": "k", "state": "active", "home": "couva", "tasks": [
  {"id": "run/1", "state": "pending", "reason": "all workers are full", "attempt": 1, "events": [{"time": "T1", "attempt": 1, "state": "pending"}]},
  {"id": "run/2", "state": "pending", "reason": "all workers are full", "attempt": 1},
  {"id": "run/3", "state": "pending", "attempt": 1},
  {"id": "run/4", "state": "running", "attempt": 2, "worker": "w2", "evictions": 1, "failures": 0, "checkpoint": "c7", "events": [
    {"time": "T2", "attempt": 1, "state": "evicting", "worker": "w1", "reason": "` + longReason + `"},
    {"time": "T3", "attempt": 2, "state": "running", "worker": "w2"}]}]}`

// Guards against output that omits a recorded reason, or shows one where none is recorded.
func TestExplain(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		wantCode  int
		want      []string
	}{
		"job": {[]string{"job", "run"}, exitOK, []string{
			"2 of 4 tasks are pending: all workers are full (such as run/1)",
			"1 of 4 tasks are pending: no reason is recorded (such as run/3)",
			"evicted 1 times", "run/4: T2 attempt 1 evicting on w1: " + longReason,
		}},
		"waiting task":     {[]string{"task", "run/1"}, exitOK, []string{"task run/1 is pending, attempt 1: all workers are full"}},
		"without a reason": {[]string{"task", "run/3"}, exitOK, []string{"task run/3 is pending, attempt 1: no reason is recorded", "no step is recorded"}},
		"evicted task": {[]string{"task", "run/4"}, exitOK, []string{
			"running, attempt 2 on worker w2", "evicted 1 times and failed 0 times, and resumes from checkpoint c7", "  T2 attempt 1 evicting on w1: " + longReason,
		}},
		"task in JSON": {[]string{"task", "run/4", "-o", "json"}, exitOK, []string{`"state": "evicting"`}},
		"unknown task": {[]string{"task", "run/9"}, exitInvalid, []string{"job run has no task run/9; it has 4 tasks"}},
		"not a task":   {[]string{"task", "run"}, exitInvalid, []string{"JOB/NUMBER"}},
	}
	started := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(writer, explainedJob)
	}))
	defer started.Close()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			arguments := append([]string{"--server", started.Listener.Addr().String(), "explain"}, test.arguments...)
			if got := New().Run(arguments, strings.NewReader(""), &stdout, &stderr); got != test.wantCode {
				t.Errorf("exit code: got %d, want %d", got, test.wantCode)
			}
			for _, want := range test.want {
				if got := stdout.String() + stderr.String(); !strings.Contains(got, want) {
					t.Errorf("output: got %s, want it to contain %q", got, want)
				}
			}
		})
	}
}

// Guards against tables that wrap in a terminal, truncate short cells in favour of long ones, or are broken by
// control characters.
func TestTablesFit(t *testing.T) {
	long := strings.Repeat("é", 300)
	tests := map[string][]string{
		"short":              {"a", "b", "c"},
		"one long cell":      {"job-1", long, "end"},
		"all long":           {long, long, long},
		"control characters": {"a\tb\nc", long, "d"},
	}
	for name, row := range tests {
		t.Run(name, func(t *testing.T) {
			rows := newTable("ONE", "TWO", "THREE")
			rows.add(row[0], row[1], row[2])
			var text bytes.Buffer
			if err := rows.write(&text); err != nil {
				t.Fatal(err)
			}
			lines := strings.Split(strings.TrimSuffix(text.String(), "\n"), "\n")
			if len(lines) != 2 {
				t.Fatalf("lines: got %d, want 2", len(lines))
			}
			for _, line := range lines {
				if got := utf8.RuneCountInString(line); got > tableWidth {
					t.Errorf("width: got %d, want at most %d", got, tableWidth)
				}
			}
			if got := strings.Contains(lines[1], "…"); got != slices.Contains(row, long) {
				t.Errorf("truncated: got %v in %q", got, lines[1])
			}
			if len(row[0]) < 10 && !strings.HasPrefix(lines[1], singleLine(row[0])) {
				t.Errorf("short cell: got %q, want it to begin with %q", lines[1], row[0])
			}
		})
	}
}

// Guards against truncated values in the JSON output, which scripts read.
func TestJSONIsNotTruncated(t *testing.T) {
	long := strings.Repeat("x", 300)
	path := filepath.Join(t.TempDir(), "contexts.json")
	var stdout, stderr bytes.Buffer
	if code := New().Run([]string{"--context-file", path, "--server", "127.0.0.1:1", "context", "set", long}, strings.NewReader(""), &stdout, &stderr); code != exitOK {
		t.Fatal(stderr.String())
	}
	if code := New().Run([]string{"--context-file", path, "-o", "json", "context", "list"}, strings.NewReader(""), &stdout, &stderr); code != exitOK {
		t.Fatal(stderr.String())
	}
	var got contextFile
	if err := json.Unmarshal(stdout.Bytes(), &got); err != nil || got.Current != long {
		t.Errorf("context: got %+v, %v, want the name in full", got, err)
	}
}

// Guards against shell completion that offers nothing, or file names for commands that read no file.
func TestCompletion(t *testing.T) {
	started := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(writer, `{"jobs": [`+jobResponse+`]}`)
	}))
	defer started.Close()
	server := "--server=" + started.Listener.Addr().String()
	tests := map[string]struct {
		arguments []string
		want      string
	}{
		"commands":       {[]string{"__complete", "exp"}, "explain"},
		"subcommands":    {[]string{"__complete", "inventory", ""}, "import"},
		"flags":          {[]string{"__complete", "inventory", "import", "--app"}, "--apply"},
		"formats":        {[]string{"__complete", "-o", ""}, "json"},
		"import formats": {[]string{"__complete", "inventory", "import", "--format", ""}, "csv"},
		"job IDs":        {[]string{"__complete", server, "explain", "job", ""}, "chart-1"},
		"no server":      {[]string{"__complete", "--server=127.0.0.1:1", "job", "show", ""}, ":1"},
		"no files":       {[]string{"__complete", "job", "list", ""}, ":4"},
		"files":          {[]string{"__complete", "job", "submit", ""}, ":0"},
		"bash script":    {[]string{"completion", "bash"}, "__start_crocusplank"},
		"zsh script":     {[]string{"completion", "zsh"}, "#compdef crocusplank"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			if code := New().Run(test.arguments, strings.NewReader(""), &stdout, &stderr); code != exitOK {
				t.Fatalf("exit code %d: %s", code, stderr.String())
			}
			if got := stdout.String(); !strings.Contains(got, test.want) {
				t.Errorf("got %q, want it to contain %q", got, test.want)
			}
		})
	}
}
