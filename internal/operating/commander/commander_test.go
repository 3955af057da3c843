package commander

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
)

const jobDocument = `{
  // A chart run.
  "id": "chart-1", "team": "couva", "class": "batch", "kind": "chart",
  "request": {"milliCores": 1000, "memoryBytes": 1000000},
}`

const jobResponse = `{"id":"chart-1","team":"couva","class":"batch","kind":"chart","state":"queued","home":"couva"}`

// server is a fake of an entry VM's API.
type server struct {
	status  int
	body    string
	drop    bool // closes the connection without a response
	silent  bool // keeps the connection open and never responds
	refuses bool // refuses connections, because nothing listens on the address
}

func (server server) start(t *testing.T, requests *atomic.Int64) string {
	t.Helper()
	if server.refuses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		return listener.Addr().String()
	}
	started := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		requests.Add(1)
		if server.silent {
			// net/http detects that the client has closed the connection only after the body has been read.
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
			return
		}
		if server.drop {
			connection, _, err := http.NewResponseController(writer).Hijack()
			if err == nil {
				_ = connection.Close()
			}
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		writer.Header().Set("Goa-Error", errorName(server.status))
		writer.WriteHeader(server.status)
		_, _ = writer.Write([]byte(server.body))
	}))
	t.Cleanup(started.Close)
	return started.Listener.Addr().String()
}

func errorName(status int) string {
	return map[int]string{
		http.StatusServiceUnavailable: "notRun", http.StatusGatewayTimeout: "unknown",
		http.StatusConflict: "conflict", http.StatusNotFound: "notFound", http.StatusBadRequest: "invalid",
	}[status]
}

func errorBody(name string) string {
	return `{"name":"` + name + `","message":"it failed","next":"do this"}`
}

// Checks that commands fail over to the next entry VM, retry only idempotent requests, and return the exit code
// that scripts rely on.
func TestFailoverAndExitCodes(t *testing.T) {
	done := server{status: http.StatusCreated, body: jobResponse}
	refuses := server{refuses: true}
	drops := server{drop: true}
	silent := server{silent: true}
	notRun := server{status: http.StatusServiceUnavailable, body: errorBody("notRun")}
	unknown := server{status: http.StatusGatewayTimeout, body: errorBody("unknown")}
	conflict := server{status: http.StatusConflict, body: errorBody("conflict")}
	evicted := server{status: http.StatusAccepted}
	submit := []string{"job", "submit", "-"}
	evict := []string{"--yes", "job", "evict", "chart-1/1"}

	tests := map[string]struct {
		servers      []server
		arguments    []string
		wantCode     int
		wantRequests int64
	}{
		"first server responds":                       {[]server{done, done}, submit, exitOK, 1},
		"first server is down":                        {[]server{refuses, done}, submit, exitOK, 1},
		"first server rejects without running":        {[]server{notRun, done}, submit, exitOK, 2},
		"response to an idempotent request is lost":   {[]server{drops, done}, submit, exitOK, 2},
		"outcome of an idempotent request is unknown": {[]server{unknown, done}, submit, exitOK, 2},
		"response to an eviction is lost":             {[]server{drops, evicted}, evict, exitUnknown, 1},
		"outcome of an eviction is unknown":           {[]server{unknown, evicted}, evict, exitUnknown, 1},
		"eviction rejected by the first server":       {[]server{notRun, evicted}, evict, exitOK, 2},
		"all servers are down":                        {[]server{refuses, refuses}, submit, exitNotRun, 0},
		"all servers reject":                          {[]server{notRun, notRun}, submit, exitNotRun, 2},
		"lost response, then a rejection":             {[]server{drops, notRun}, submit, exitUnknown, 2},
		"unknown outcome, then a rejection":           {[]server{unknown, notRun}, submit, exitUnknown, 2},
		"unknown outcome, then a server that is down": {[]server{unknown, refuses}, submit, exitUnknown, 1},
		"lost response to a read, then a rejection":   {[]server{drops, notRun}, []string{"job", "list"}, exitNotRun, 2},
		"first server never responds":                 {[]server{silent, done}, submit, exitOK, 2},
		"first server never responds to an eviction":  {[]server{silent, evicted}, evict, exitUnknown, 1},
		"conflict is final":                           {[]server{conflict, done}, submit, exitConflict, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			var addresses []string
			for _, server := range test.servers {
				addresses = append(addresses, server.start(t, &requests))
			}
			arguments := append([]string{"--timeout", "2s", "--server", strings.Join(addresses, ",")}, test.arguments...)
			var stdout, stderr bytes.Buffer
			got := New().Run(arguments, strings.NewReader(jobDocument), &stdout, &stderr)
			if got != test.wantCode {
				t.Errorf("exit code: got %d, want %d (%s)", got, test.wantCode, stderr.String())
			}
			if got := requests.Load(); got != test.wantRequests {
				t.Errorf("requests: got %d, want %d", got, test.wantRequests)
			}
		})
	}
}

// Guards against invalid input that is sent to a server, and against an error message that does not say what is
// invalid.
func TestInputFaults(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		input     string
		wantText  string
	}{
		"unknown key":       {[]string{"job", "submit", "-"}, `{"id": "a", "teem": "x"}`, "teem"},
		"broken JSON":       {[]string{"job", "submit", "-"}, `{"id": `, "-:"},
		"missing file":      {[]string{"job", "submit", "no-such-file"}, "", "no-such-file"},
		"no document":       {[]string{"config", "apply", "-", "--operator", "op"}, `{"revision": 3}`, "document"},
		"not confirmed":     {[]string{"job", "evict", "a/1"}, "no\n", "nothing was done"},
		"unknown format":    {[]string{"-o", "xml", "job", "list"}, "", "xml"},
		"unknown context":   {[]string{"--context", "nowhere", "job", "list"}, "", "nowhere"},
		"roll without base": {[]string{"config", "roll-forward", "3", "--operator", "op"}, "", "--base"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			arguments := test.arguments
			if name != "unknown context" {
				arguments = append([]string{"--server", "127.0.0.1:1"}, arguments...)
			}
			arguments = append([]string{"--context-file", filepath.Join(t.TempDir(), "contexts.json")}, arguments...)
			var stdout, stderr bytes.Buffer
			code := New().Run(arguments, strings.NewReader(test.input), &stdout, &stderr)
			if code != exitInvalid && code != exitFailure {
				t.Errorf("exit code: got %d, want %d or %d", code, exitInvalid, exitFailure)
			}
			if got := stderr.String(); !strings.Contains(got, test.wantText) {
				t.Errorf("message: got %q, want it to name %q", got, test.wantText)
			}
		})
	}
}

// Guards against a retry with a new change ID, which would apply a change twice.
func TestSameChangeKeepsItsID(t *testing.T) {
	flags := changeFlags{base: -1, operator: "op"}
	file := configurationFile{Revision: 4, Document: map[string]any{"b": 1.0, "a": 2.0}}
	first, err := flags.change(file)
	if err != nil {
		t.Fatal(err)
	}
	second, err := flags.change(file)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := second.ChangeID, first.ChangeID; got != want {
		t.Errorf("change ID of a retry: got %s, want %s", got, want)
	}
	file.Revision = 5
	other, err := flags.change(file)
	if err != nil {
		t.Fatal(err)
	}
	if other.ChangeID == first.ChangeID {
		t.Error("a change on another base has the same change ID")
	}
}

// Guards against losing contexts when another one is added.
func TestContextsAreKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "folder", "contexts.json")
	run := func(arguments ...string) string {
		var stdout, stderr bytes.Buffer
		if code := New().Run(append([]string{"--context-file", path}, arguments...), strings.NewReader(""), &stdout, &stderr); code != exitOK {
			t.Fatalf("%v: exit code %d: %s", arguments, code, stderr.String())
		}
		return stdout.String()
	}
	run("context", "set", "couva", "--server", "127.0.0.1:7300,127.0.0.1:7301")
	run("context", "set", "bramble", "--server", "127.0.0.1:7400")
	run("context", "use", "couva")
	var got contextFile
	if err := json.Unmarshal([]byte(run("-o", "json", "context", "list")), &got); err != nil {
		t.Fatal(err)
	}
	if got.Current != "couva" || len(got.Contexts) != 2 || len(got.Contexts["couva"].Servers) != 2 {
		t.Errorf("contexts: got %+v, want couva as current one of 2, with 2 servers", got)
	}
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := info.Mode().Perm(), os.FileMode(0o600); got != want {
		t.Errorf("mode of the context file: got %v, want %v", got, want)
	}
}

// Guards against keys in the JSON output that differ from those of the API.
func TestCamelCaseNames(t *testing.T) {
	tests := map[string]string{"VM": "vm", "ChangeID": "changeID", "ID": "id", "DataCentre": "dataCentre", "HoldsLeaderLease": "holdsLeaderLease", "Ids": "ids"}
	for name, want := range tests {
		if got := camelCaseName(name); got != want {
			t.Errorf("%s: got %s, want %s", name, got, want)
		}
	}
}
