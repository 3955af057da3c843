package server

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/internal/operating/auditor"
	"github.com/crocusplank/crocusplank/internal/operating/authenticator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const wrongToken = "not-a-token-that-anyone-holds"

// newJobs returns a state machine with the job own of the team cutting and the job foreign of another team.
// The tasks of both are being evicted.
func newJobs(t *testing.T) *dispatcher.Machine {
	t.Helper()
	machine := dispatcher.NewMachine("couva")
	command := dispatcher.Command{AtUnixMilli: 1, Operations: []dispatcher.Operation{
		{Inventory: &dispatcher.Inventory{Revision: 1, Put: []scheduler.Worker{
			{Name: "w", DataCentre: "couva", Rack: "r", Capacity: scheduler.Resources{MilliCores: 9, MemoryBytes: 9}},
		}}},
	}}
	for job, team := range map[scheduler.JobID]scheduler.TeamName{"own": "cutting", "foreign": "shelter"} {
		command.Operations = append(command.Operations, dispatcher.Operation{Submit: &dispatcher.Submission{
			Job: job, Team: team, Tasks: []dispatcher.TaskGroup{{Count: 1, Spec: scheduler.TaskSpec{
				Class: scheduler.ClassBatch, Kind: "k", Request: scheduler.Resources{MilliCores: 1, MemoryBytes: 1},
			}}},
		}})
	}
	command.Operations = append(command.Operations,
		dispatcher.Operation{Term: 1, TakeOver: &dispatcher.TakeOver{VM: "couva-1"}},
		dispatcher.Operation{Term: 1, Assign: &dispatcher.Assign{Task: "own/1", Attempt: 1, Worker: "w", Incarnation: 1}},
		dispatcher.Operation{Term: 1, Assign: &dispatcher.Assign{Task: "foreign/1", Attempt: 1, Worker: "w", Incarnation: 1}},
		dispatcher.Operation{Term: 1, Evict: &dispatcher.Evict{Task: "own/1", Attempt: 1, Reason: "r"}},
		dispatcher.Operation{Term: 1, Evict: &dispatcher.Evict{Task: "foreign/1", Attempt: 1, Reason: "r"}})
	encoded, err := cbor.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	machine.Apply(1, encoded)
	if got := len(machine.Jobs()); got != 2 {
		t.Fatalf("jobs: got %d, want 2", got)
	}
	return machine
}

// newTokens returns an Authenticator and one token for each role. The one with the role team belongs to the
// team cutting.
func newTokens(t *testing.T) (*authenticator.Authenticator, map[authenticator.Role]string) {
	t.Helper()
	tokens := map[authenticator.Role]string{}
	var entries []authenticator.Entry
	for _, role := range []authenticator.Role{authenticator.RoleOperator, authenticator.RoleTeam, authenticator.RoleReader, authenticator.RolePlatform} {
		token, hash := authenticator.NewToken()
		tokens[role] = token
		entry := authenticator.Entry{Name: "holder-" + string(role), Role: role, SHA256: hash}
		if role == authenticator.RoleTeam {
			entry.Team = "cutting"
		}
		entries = append(entries, entry)
	}
	data, err := json.Marshal(entries)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "tokens.jsonc")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	opened, err := authenticator.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return opened, tokens
}

// apiCall is a request with the expected status for each role. The server under test has no engine and no
// configuration, so a permitted change gets status 503.
type apiCall struct {
	route                  string // as in docs/openapi.json
	path                   string // empty if it equals the route's path
	body                   string
	operator, team, reader int
}

const changeBody = `{"base": 1, "changeID": "c", "operator": "o", "document": {}}`

func jobBody(team string) string {
	return `{"id": "new", "team": "` + team + `", "class": "batch", "kind": "k", "request": {"milliCores": 1, "memoryBytes": 1}}`
}

var apiCalls = map[string]apiCall{
	"submit for the own team":     {"POST /v1/jobs", "", jobBody("cutting"), 503, 503, 403},
	"submit for another team":     {"POST /v1/jobs", "", jobBody("shelter"), 503, 403, 403},
	"submit for an unknown team":  {"POST /v1/jobs", "", jobBody("nobody"), 503, 403, 403},
	"show the own job":            {"GET /v1/jobs/{id}", "/v1/jobs/own", "", 200, 200, 200},
	"show another team's job":     {"GET /v1/jobs/{id}", "/v1/jobs/foreign", "", 200, 404, 200},
	"list jobs":                   {"GET /v1/jobs", "", "", 200, 200, 200},
	"cancel the own job":          {"POST /v1/jobs/cancel", "", `{"ids": ["own"]}`, 503, 503, 403},
	"cancel another team's job":   {"POST /v1/jobs/cancel", "", `{"ids": ["own", "foreign"]}`, 503, 403, 403},
	"evict":                       {"POST /v1/tasks/evict", "", `{"task": "own/1", "reason": "r"}`, 503, 403, 403},
	"show the configuration":      {"GET /v1/configuration", "", "", 503, 503, 503},
	"compare the configuration":   {"POST /v1/configuration/diff", "", changeBody, 503, 503, 503},
	"apply a configuration":       {"POST /v1/configuration", "", changeBody, 503, 403, 403},
	"roll the configuration":      {"POST /v1/configuration/roll-forward", "", `{"base": 1, "changeID": "c", "operator": "o", "to": 1}`, 503, 403, 403},
	"show the history":            {"GET /v1/configuration/history", "", "", 503, 503, 503},
	"show the VM":                 {"GET /v1/vm", "", "", 200, 200, 200},
	"list workers":                {"GET /v1/workers", "", "", 200, 200, 200},
	"drain a worker":              {"POST /v1/workers/{worker}/drain", "/v1/workers/w/drain", `{"drained": true}`, 503, 403, 403},
	"list endpoints":              {"GET /v1/endpoints", "", "", 200, 200, 200},
	"list evictions":              {"GET /v1/evictions", "", "", 200, 200, 200},
	"show the promises":           {"GET /v1/promises", "", "", 200, 200, 200},
	"list the audit trail":        {"GET /v1/audit", "", "", 200, 403, 200},
	"verify the audit trail":      {"GET /v1/audit/verify", "", "", 200, 403, 200},
	"change a group's members":    {"POST /v1/groups/{group}/replicas", "/v1/groups/couva/replicas", `{"action": "remove", "vm": "couva-2"}`, 404, 403, 403},
	"drain with a very long name": {"POST /v1/workers/{worker}/drain", "/v1/workers/" + strings.Repeat("w", 4000) + "/drain", `{"drained": true}`, 503, 403, 403},
}

// accessTest holds the handler under test, its audit trail and log, and the bodies of its responses.
type accessTest struct {
	handler http.Handler
	trail   *auditor.Trail
	logged  bytes.Buffer
	bodies  bytes.Buffer
}

func (accessTest *accessTest) send(call apiCall, authorization string) int {
	method, path, _ := strings.Cut(call.route, " ")
	if call.path != "" {
		path = call.path
	}
	request := httptest.NewRequest(method, path, strings.NewReader(call.body))
	request.Header.Set("Content-Type", "application/json")
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	recorder := httptest.NewRecorder()
	accessTest.handler.ServeHTTP(recorder, request)
	accessTest.bodies.Write(recorder.Body.Bytes())
	return recorder.Code
}

func newAccessTest(t *testing.T, tokens *authenticator.Authenticator) *accessTest {
	t.Helper()
	test := &accessTest{}
	trail, err := auditor.Open(filepath.Join(t.TempDir(), "audit"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = trail.Close() })
	test.trail = trail
	test.handler = New(Dependencies{
		VM: "couva-1", DataCentre: "couva", Jobs: newJobs(t), AuditTrail: trail, Tokens: tokens,
		PeerConnections: func() map[string]bool { return nil }, Ready: func() (bool, string) { return true, "" },
	}, zerolog.New(&test.logged)).Handler()
	return test
}

// Guards against a method that a role may call without the right to do so, a rejection without an audit record, and a
// token that leaks into a response, the log or the audit trail.
func TestAccess(t *testing.T) {
	tokens, held := newTokens(t)
	test := newAccessTest(t, tokens)
	for _, name := range slices.Sorted(maps.Keys(apiCalls)) {
		call := apiCalls[name]
		senders := map[string]struct {
			authorization string
			who           string
			want          int
		}{
			"operator":     {"Bearer " + held[authenticator.RoleOperator], "holder-operator", call.operator},
			"team":         {"Bearer " + held[authenticator.RoleTeam], "holder-team", call.team},
			"reader":       {"Bearer " + held[authenticator.RoleReader], "holder-reader", call.reader},
			"platform":     {"Bearer " + held[authenticator.RolePlatform], "holder-platform", 403},
			"wrong token":  {"Bearer " + wrongToken, "unknown", 401},
			"empty token":  {"Bearer ", "unknown", 401},
			"no token":     {"", "unknown", 401},
			"cut off half": {"Bearer " + held[authenticator.RoleOperator][:20], "unknown", 401},
		}
		for sender, sent := range senders {
			t.Run(name+"/"+sender, func(t *testing.T) {
				before, _ := test.trail.Head()
				if got := test.send(call, sent.authorization); got != sent.want {
					t.Errorf("status: got %d, want %d", got, sent.want)
				}
				isRefused := sent.want == 401 || sent.want == 403 || sender == "team" && sent.want == 404
				test.checkRecord(t, before, sent.who, isRefused)
			})
		}
	}
	records, _, err := test.trail.Read(1, 1000)
	if err != nil || len(records) == 0 {
		t.Fatalf("read the audit trail: got %d records, %v", len(records), err)
	}
	audited, _ := json.Marshal(records)
	secrets := append(slices.Collect(maps.Values(held)), wrongToken, held[authenticator.RoleOperator][:20])
	for place, text := range map[string]string{"log": test.logged.String(), "answers": test.bodies.String(), "audit trail": string(audited)} {
		for _, secret := range secrets {
			if strings.Contains(text, secret) {
				t.Errorf("the %s holds a token", place)
			}
		}
	}
}

func (accessTest *accessTest) checkRecord(t *testing.T, before uint64, who string, isRefused bool) {
	t.Helper()
	records, _, err := accessTest.trail.Read(before+1, 10)
	if err != nil {
		t.Fatal(err)
	}
	if !isRefused {
		if len(records) != 0 {
			t.Errorf("audit records of an allowed request: got %+v, want none", records)
		}
		return
	}
	if len(records) != 1 || records[0].Who != who || records[0].Outcome != scheduler.AuditRefused || strings.TrimSpace(records[0].Action) == "" {
		t.Fatalf("audit records: got %+v, want one refusal of %s", records, who)
	}
	if got := len(records[0].Action); got > 2*auditTextLimit {
		t.Errorf("length of the recorded action: got %d, want at most %d", got, 2*auditTextLimit)
	}
}

// Guards against a method of the API that is missing from the table of TestAccess.
func TestAccessTableIsComplete(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "openapi.json"))
	if err != nil {
		t.Fatal(err)
	}
	var api struct {
		Paths map[string]map[string]any `json:"paths"`
	}
	if err := json.Unmarshal(data, &api); err != nil {
		t.Fatal(err)
	}
	tested := map[string]bool{"GET /healthz": true, "GET /readyz": true}
	for _, call := range apiCalls {
		tested[call.route] = true
	}
	listed := 0
	for path, methods := range api.Paths {
		for method := range methods {
			listed++
			if route := strings.ToUpper(method) + " " + path; !tested[route] {
				t.Errorf("%s is not in the table", route)
			}
		}
	}
	if listed != len(tested) {
		t.Errorf("methods: got %d in openapi.json, want %d", listed, len(tested))
	}
}

// Guards against health checks that require a token, which the platform's load balancer does not have.
func TestHealthNeedsNoToken(t *testing.T) {
	tokens, _ := newTokens(t)
	test := newAccessTest(t, tokens)
	for _, path := range []string{"/healthz", "/readyz"} {
		if got, want := test.send(apiCall{route: "GET " + path}, ""), http.StatusOK; got != want {
			t.Errorf("%s: got %d, want %d", path, got, want)
		}
	}
}

// Guards against responses to "job wait" that carry the events of up to 10,000 tasks at each poll, and against
// responses to "explain" without them.
func TestShowGivesEventsOnRequest(t *testing.T) {
	tests := map[string]bool{"/v1/jobs/own": false, "/v1/jobs/own?events=true": true}
	for path, want := range tests {
		t.Run(path, func(t *testing.T) {
			test := newAccessTest(t, nil)
			test.send(apiCall{route: "GET " + path}, "")
			if got := strings.Contains(test.bodies.String(), `"events"`); got != want {
				t.Errorf("events: got %v, want %v in %s", got, want, test.bodies.String())
			}
		})
	}
}

// Guards against lists in which a team sees another team's jobs or evictions.
func TestTeamListsItsOwnWorkOnly(t *testing.T) {
	tokens, held := newTokens(t)
	for _, list := range []string{"list jobs", "list evictions"} {
		for role, wantForeign := range map[authenticator.Role]bool{authenticator.RoleTeam: false, authenticator.RoleReader: true} {
			t.Run(list+"/"+string(role), func(t *testing.T) {
				test := newAccessTest(t, tokens)
				test.send(apiCalls[list], "Bearer "+held[role])
				got := test.bodies.String()
				if !strings.Contains(got, "own") || strings.Contains(got, "foreign") != wantForeign {
					t.Errorf("list: got %s, want own, and foreign %v", got, wantForeign)
				}
			})
		}
	}
}
