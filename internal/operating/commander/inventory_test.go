package commander

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// configurationServer is a fake of the configuration methods of an entry VM's API.
type configurationServer struct {
	differences string
	conflict    bool
	diffed      string
	applied     []string
}

func (configurationServer *configurationServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	writer.Header().Set("Content-Type", "application/json")
	switch {
	case request.Method == http.MethodGet:
		_, _ = io.WriteString(writer, `{"revision": 7, "document": {"teams": [{"name": "cutting"}], "later": 1, "racks": [{"name": "old"}]}}`)
	case strings.HasSuffix(request.URL.Path, "/diff"):
		configurationServer.diffed = string(body)
		_, _ = io.WriteString(writer, `{"differences": [`+configurationServer.differences+`]}`)
	default:
		configurationServer.applied = append(configurationServer.applied, string(body))
		if configurationServer.conflict {
			writer.Header().Set("Goa-Error", "conflict")
			writer.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(writer, errorBody("conflict"))
			return
		}
		_, _ = io.WriteString(writer, `{"revision": 8}`)
	}
}

// Guards against an import that applies a change without --apply or confirmation, applies part of a faulty file, or
// overwrites a concurrent change.
func TestInventoryImport(t *testing.T) {
	const difference = `{"path": "racks[old]", "from": {"name": "old"}}`
	const export = "type,name\ndataCentre,couva\n"
	tests := map[string]struct {
		server      configurationServer
		arguments   []string
		input       string
		wantCode    int
		wantApplied int
		wantText    string
	}{
		"shows only":         {configurationServer{differences: difference}, []string{"--yes"}, export, exitOK, 0, "nothing was changed"},
		"applies":            {configurationServer{differences: difference}, []string{"--yes", "--apply"}, export, exitOK, 1, "applied as revision 8"},
		"no differences":     {configurationServer{}, []string{"--yes", "--apply"}, export, exitOK, 0, "no differences from revision 7"},
		"not confirmed":      {configurationServer{differences: difference}, []string{"--apply"}, export, exitInvalid, 0, "nothing was done"},
		"changed meanwhile":  {configurationServer{differences: difference, conflict: true}, []string{"--yes", "--apply"}, export, exitConflict, 1, "it failed"},
		"faulty row":         {configurationServer{differences: difference}, []string{"--yes", "--apply"}, export + "rack,r,\n", exitInvalid, 0, "-:3:1:"},
		"unknown format":     {configurationServer{differences: difference}, []string{"--format", "xml"}, export, exitInvalid, 0, "xml"},
		"JSON output":        {configurationServer{differences: difference}, []string{"-o", "json"}, export, exitOK, 0, `"applied": false`},
		"JSON after applied": {configurationServer{differences: difference}, []string{"--yes", "-o", "json", "--apply"}, export, exitOK, 1, `"applied": true`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			started := httptest.NewServer(&test.server)
			defer started.Close()
			arguments := []string{"--server", started.Listener.Addr().String(), "inventory", "import", "-", "--operator", "ama", "--format", "csv"}
			var stdout, stderr bytes.Buffer
			got := New().Run(append(arguments, test.arguments...), strings.NewReader(test.input), &stdout, &stderr)
			if got != test.wantCode {
				t.Errorf("exit code: got %d, want %d (%s)", got, test.wantCode, stderr.String())
			}
			if got := len(test.server.applied); got != test.wantApplied {
				t.Errorf("changes applied: got %d, want %d", got, test.wantApplied)
			}
			if got := stdout.String() + stderr.String(); !strings.Contains(got, test.wantText) {
				t.Errorf("output: got %q, want it to contain %q", got, test.wantText)
			}
		})
	}
}

// Guards against an import that drops sections which are not in the export (teams, services, rules, unknown keys), or
// keeps removed racks.
func TestImportReplacesTheInventoryOnly(t *testing.T) {
	server := &configurationServer{differences: `{"path": "x"}`}
	started := httptest.NewServer(server)
	defer started.Close()
	var stdout, stderr bytes.Buffer
	arguments := []string{"--server", started.Listener.Addr().String(), "--yes", "inventory", "import", "-", "--operator", "ama", "--format", "json", "--apply"}
	if code := New().Run(arguments, strings.NewReader(`[{"type": "dataCentre", "name": "couva"}]`), &stdout, &stderr); code != exitOK {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	var got struct {
		Base     uint64         `json:"base"`
		Document map[string]any `json:"document"`
	}
	if err := json.Unmarshal([]byte(server.applied[0]), &got); err != nil {
		t.Fatal(err)
	}
	if got.Base != 7 || got.Document["later"] == nil || len(got.Document["teams"].([]any)) != 1 {
		t.Errorf("change: got %+v, want base 7 with the team and the unknown key", got)
	}
	if len(got.Document["dataCentres"].([]any)) != 1 || len(got.Document["racks"].([]any)) != 0 {
		t.Errorf("inventory: got %+v, want one data centre and no racks", got.Document)
	}
	if server.diffed != server.applied[0] {
		t.Errorf("the change applied differs from the one shown: got %s, want %s", server.applied[0], server.diffed)
	}
}
