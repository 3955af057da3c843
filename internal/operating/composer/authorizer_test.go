package composer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/operating/auditor"
	"github.com/crocusplank/crocusplank/internal/operating/authenticator"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/trials/deployer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// newTestAuthorizer returns an authorizer with one token per role, and its audit trail.
func newTestAuthorizer(t *testing.T, log *bytes.Buffer) (*authorizer, *auditor.Trail, map[authenticator.Role]string) {
	t.Helper()
	tokens := map[authenticator.Role]string{}
	var entries []authenticator.Entry
	for _, role := range []authenticator.Role{
		authenticator.RoleOperator, authenticator.RoleTeam, authenticator.RoleReader, authenticator.RolePlatform,
	} {
		token, hash := authenticator.NewToken()
		tokens[role] = token
		entry := authenticator.Entry{Name: string(role), Role: role, SHA256: hash}
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
	authorizer, err := newAuthorizer(&loader.Settings{Tokens: loader.Tokens{APITokensFile: path}}, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	trail, err := auditor.Open(filepath.Join(t.TempDir(), "audit"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = trail.Close() })
	authorizer.trail = trail
	return authorizer, trail, tokens
}

func sendRequest(handler http.Handler, authorization string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/v1/endpoints", strings.NewReader("{}"))
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

var noContentHandler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(http.StatusNoContent)
})

// Guards against requests of endpoints and workers that are served without a token of the role platform, against
// refusals without an audit record, and against tokens that leak into the log, the response or the audit trail.
func TestPlatformAccess(t *testing.T) {
	var log bytes.Buffer
	authorizer, trail, tokens := newTestAuthorizer(t, &log)
	tests := map[string]struct {
		authorization string
		want          int
		who           string
	}{
		"platform":          {"Bearer " + tokens[authenticator.RolePlatform], 204, ""},
		"lower-case scheme": {"bearer " + tokens[authenticator.RolePlatform], 204, ""},
		"other scheme":      {"Basic " + tokens[authenticator.RolePlatform], 401, "unknown"},
		"operator":          {"Bearer " + tokens[authenticator.RoleOperator], 403, "operator"},
		"team":              {"Bearer " + tokens[authenticator.RoleTeam], 403, "team"},
		"reader":            {"Bearer " + tokens[authenticator.RoleReader], 403, "reader"},
		"wrong token":       {"Bearer wrong-secret", 401, "unknown"},
		"no token":          {"", 401, "unknown"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before, _ := trail.Head()
			response := sendRequest(authorizer.requirePlatformToken(name, noContentHandler), test.authorization)
			if response.Code != test.want {
				t.Errorf("status: got %d, want %d", response.Code, test.want)
			}
			records, _, err := trail.Read(before+1, 10)
			if err != nil {
				t.Fatal(err)
			}
			if test.who == "" && len(records) > 0 || test.who != "" &&
				(len(records) != 1 || records[0].Who != test.who || records[0].Action != name) {
				t.Errorf("audit records: got %+v, want one of %q", records, test.who)
			}
			written, _ := json.Marshal(records)
			for _, secret := range append(
				[]string{"wrong-secret"}, tokens[authenticator.RoleOperator], tokens[authenticator.RolePlatform],
			) {
				if strings.Contains(log.String()+response.Body.String()+string(written), secret) {
					t.Error("a token leaked into the log, the response or the audit trail")
				}
			}
		})
	}
}

// Guards against refusing endpoints when no API token file is configured.
func TestPlatformAccessWithoutTokens(t *testing.T) {
	authorizer, err := newAuthorizer(&loader.Settings{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := sendRequest(
		authorizer.requirePlatformToken("announce", noContentHandler), "",
	).Code, http.StatusNoContent; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}

// Guards against a worker with an invalid token that adds an audit record with each retry, once per second.
func TestRepeatedRefusalsAreRecordedOnceAMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		authorizer, trail, _ := newTestAuthorizer(t, &log)
		for range 90 {
			sendRequest(authorizer.requirePlatformToken("exchange", noContentHandler), "Bearer wrong")
			time.Sleep(time.Second)
		}
		if got, _ := trail.Head(); got != 2 {
			t.Errorf("records after 90 s: got %d, want 2", got)
		}
	})
}

// auditTransport delivers calls to the authorizer of a VM with a disk. Calls to all other VMs fail.
type auditTransport struct {
	scheduler.Transport
	auditVM scheduler.VMName
	handler *authorizer
}

func (auditTransport *auditTransport) Call(
	ctx context.Context, to scheduler.VMName, _ scheduler.GroupName, _ scheduler.MessageKind, body []byte,
) ([]byte, error) {
	if to != auditTransport.auditVM {
		return nil, scheduler.ErrNotRun.New("VM %s is down", to)
	}
	return auditTransport.handler.handleAuditRecord(ctx, "couva-2", body)
}

// Guards against losing the audit records of refusals on a VM without a disk, and against a VM that writes records of
// accepted changes into the audit trail of another VM.
func TestRefusalsOfVMWithoutDisk(t *testing.T) {
	var log bytes.Buffer
	audit, trail, _ := newTestAuthorizer(t, &log)
	diskless, _, _ := newTestAuthorizer(t, &log)
	diskless.trail, diskless.vm, diskless.auditVMs = nil, "couva-2", []scheduler.VMName{"down", "couva-1"}
	diskless.transport = &auditTransport{auditVM: "couva-1", handler: audit}
	sendRequest(diskless.requirePlatformToken("announce", noContentHandler), "")
	records, _, err := trail.Read(1, 10)
	if err != nil {
		t.Fatal(err)
	}
	if len(records) != 1 || !strings.Contains(records[0].Detail, "couva-2") {
		t.Errorf("records on the VM with a disk: got %+v, want one that names couva-2", records)
	}
	if err := diskless.record(scheduler.AuditRecord{Who: "x", Action: "y", Outcome: scheduler.AuditAccepted}); err == nil {
		t.Error("an accepted change from another VM: got no error")
	}
	diskless.auditVMs = nil
	if err := diskless.record(scheduler.AuditRecord{Outcome: scheduler.AuditRefused}); err == nil {
		t.Error("no VM with a disk: got no error")
	}
}

// Guards against handlers for endpoints and workers that are registered without an authorization check.
func TestPlatformPathsAreGuarded(t *testing.T) {
	deployment, err := deployer.New(t.TempDir(), "couva", "chaguanas", "claxton-bay")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := loader.Load(deployment.SettingsFile("couva-2"))
	if err != nil {
		t.Fatal(err)
	}
	settings.Tokens.APITokensFile = filepath.Join(t.TempDir(), "tokens.jsonc")
	if err := os.WriteFile(settings.Tokens.APITokensFile, []byte("[]"), 0o600); err != nil {
		t.Fatal(err)
	}
	daemon, err := New(settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	// The daemon has not been started, so no transport accepts audit records and refusals are only logged.
	defer daemon.cancel()
	for _, path := range []string{"/v1/endpoints", "/v1/workers/w/sync"} {
		recorder := httptest.NewRecorder()
		daemon.environment.callerMux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}")))
		if got, want := recorder.Code, http.StatusUnauthorized; got != want {
			t.Errorf("%s: got %d, want %d", path, got, want)
		}
	}
}
