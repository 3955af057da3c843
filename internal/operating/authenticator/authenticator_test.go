package authenticator

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func writeEntries(t *testing.T, path string, entries []Entry) {
	t.Helper()
	data, err := json.Marshal(entries)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against tokens that grant more than their role allows, and against unknown tokens that grant access at
// all.
func TestIdentify(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens.json")
	operator, operatorHash := NewToken()
	team, teamHash := NewToken()
	writeEntries(t, path, []Entry{
		{Name: "anna", Role: RoleOperator, SHA256: operatorHash},
		{Name: "charts", Role: RoleTeam, Team: "charts", SHA256: teamHash},
	})
	authenticator, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		token      string
		wantOK     bool
		wantChange bool
		wantOwn    bool
		wantOther  bool
	}{
		"operator":        {operator, true, true, true, true},
		"team":            {team, true, false, true, false},
		"empty token":     {"", false, false, false, false},
		"unknown token":   {"x", false, false, false, false},
		"hash as a token": {operatorHash, false, false, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			identity, ok := authenticator.Identify(test.token)
			if ok != test.wantOK || identity.MayChange() != test.wantChange {
				t.Errorf("got ok %v, may change %v; want %v, %v", ok, identity.MayChange(), test.wantOK, test.wantChange)
			}
			if got := identity.MaySubmitFor("charts"); got != test.wantOwn {
				t.Errorf("may submit for charts: got %v, want %v", got, test.wantOwn)
			}
			if got := identity.MaySubmitFor("patterns"); got != test.wantOther {
				t.Errorf("may submit for patterns: got %v, want %v", got, test.wantOther)
			}
		})
	}
}

// Guards against a revoked token that remains valid, and against an invalid token file that locks out all operators.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "tokens.json")
		first, firstHash := NewToken()
		second, secondHash := NewToken()
		writeEntries(t, path, []Entry{{Name: "anna", Role: RoleOperator, SHA256: firstHash}})
		authenticator, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		replace := func(content []Entry, raw string, age time.Duration) {
			writeEntries(t, path, content)
			if raw != "" {
				if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			modified := time.Now().Add(age)
			if err := os.Chtimes(path, modified, modified); err != nil {
				t.Fatal(err)
			}
			time.Sleep(reloadInterval)
		}
		replace(nil, "[{", time.Hour)
		if _, ok := authenticator.Identify(first); !ok {
			t.Error("after an invalid change: got the earlier token rejected, want it accepted")
		}
		replace([]Entry{{Name: "anna", Role: RoleOperator, SHA256: secondHash}}, "", 2*time.Hour)
		if _, ok := authenticator.Identify(first); ok {
			t.Error("revoked token: got accepted, want rejected")
		}
		if _, ok := authenticator.Identify(second); !ok {
			t.Error("new token: got rejected, want accepted")
		}
	})
}

// Guards against an invalid token file that is accepted and grants or denies access by mistake.
func TestInvalidFiles(t *testing.T) {
	_, hash := NewToken()
	tests := map[string]struct {
		content string
		want    string
	}{
		"unknown role":      {`[{"name":"a","role":"root","sha256":"` + hash + `"}]`, "role"},
		"team without name": {`[{"name":"a","role":"team","sha256":"` + hash + `"}]`, "team"},
		"plain token":       {`[{"name":"a","role":"operator","sha256":"secret"}]`, "sha256"},
		"listed twice":      {`[{"name":"a","role":"reader","sha256":"` + hash + `"},{"name":"a","role":"reader","sha256":"` + hash + `"}]`, "twice"},
		"no name":           {`[{"role":"reader","sha256":"` + hash + `"}]`, "name"},
		"broken":            {`[`, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "tokens.json")
			if err := os.WriteFile(path, []byte(test.content), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Open(path)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want an error that names %q", err, test.want)
			}
		})
	}
}
