// Package authenticator recognises operators and teams by their tokens. Only hashes of the tokens are
// stored.
package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("authenticator")

// reloadInterval is how soon a changed file of tokens is in force.
const reloadInterval = 5 * time.Second

// Role is what the holder of a token may do.
type Role string

// Values of Role.
const (
	// RoleOperator may do everything.
	RoleOperator Role = "operator"
	// RoleTeam may submit, see and cancel its own team's jobs.
	RoleTeam Role = "team"
	// RoleReader may see everything and change nothing.
	RoleReader Role = "reader"
	// RolePlatform may announce endpoints and exchange with workers, and nothing else.
	RolePlatform Role = "platform"
)

// Identity is the holder of a token.
type Identity struct {
	name string
	role Role
	team scheduler.TeamName
}

// NewIdentity returns an Identity. The team is empty but for RoleTeam.
func NewIdentity(name string, role Role, team scheduler.TeamName) Identity {
	return Identity{name: name, role: role, team: team}
}

// Name returns the holder's name for the audit trail.
func (identity Identity) Name() string { return identity.name }

// Role returns what the holder may do.
func (identity Identity) Role() Role { return identity.role }

// Team returns the holder's team, empty for operators and readers.
func (identity Identity) Team() scheduler.TeamName { return identity.team }

// MayUseAPI reports whether the holder may use the API at all.
func (identity Identity) MayUseAPI() bool {
	return identity.role == RoleOperator || identity.role == RoleTeam || identity.role == RoleReader
}

// MayServe reports whether the holder may announce endpoints and run tasks.
func (identity Identity) MayServe() bool { return identity.role == RolePlatform }

// MayChange reports whether the holder may change the system's configuration and state.
func (identity Identity) MayChange() bool { return identity.role == RoleOperator }

// MaySubmitFor reports whether the holder may submit and cancel jobs of a team.
func (identity Identity) MaySubmitFor(team scheduler.TeamName) bool {
	return identity.role == RoleOperator || identity.role == RoleTeam && identity.team == team
}

// MaySee reports whether the holder may see jobs of a team.
func (identity Identity) MaySee(team scheduler.TeamName) bool {
	return identity.MayUseAPI() && (identity.role != RoleTeam || identity.team == team)
}

// Entry is one token in the file of tokens. It is a settings type.
type Entry struct {
	Name string             `json:"name"`
	Role Role               `json:"role"`
	Team scheduler.TeamName `json:"team,omitempty"`
	// SHA256 is the hash of the token in hexadecimal digits. Tokens are random, so a fast hash
	// without salt is enough.
	SHA256 string `json:"sha256"`
}

// NewToken returns a random token and its hash.
func NewToken() (token, hash string) {
	var secret [32]byte
	_, _ = rand.Read(secret[:]) // crypto/rand.Read never fails; it ends the process instead.
	token = base64.RawURLEncoding.EncodeToString(secret[:])
	return token, hashOf(token)
}

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Authenticator recognises tokens by a file, which it reads again when the file has changed. It is safe
// for concurrent use.
type Authenticator struct {
	path string

	mutex    sync.Mutex
	entries  []Entry
	modified time.Time
	checked  time.Time
}

// Open reads the file of tokens (JSON with comments, a list of Entry). It returns an error that lists
// all faults.
func Open(path string) (*Authenticator, error) {
	authenticator := &Authenticator{path: path}
	if err := authenticator.reload(); err != nil {
		return nil, err
	}
	return authenticator, nil
}

// Identify returns the holder of a token; ok is false when nobody holds it.
func (authenticator *Authenticator) Identify(token string) (identity Identity, ok bool) {
	authenticator.mutex.Lock()
	defer authenticator.mutex.Unlock()
	if time.Since(authenticator.checked) >= reloadInterval {
		// A faulty file leaves the earlier tokens in force, so that a slip does not lock out
		// every operator.
		_ = authenticator.reload()
	}
	hash := hashOf(token)
	for _, entry := range authenticator.entries {
		// The loop goes on after a match, so that its time does not tell the position.
		if subtle.ConstantTimeCompare([]byte(entry.SHA256), []byte(hash)) == 1 {
			identity, ok = NewIdentity(entry.Name, entry.Role, entry.Team), true
		}
	}
	return identity, ok
}

func (authenticator *Authenticator) reload() error {
	authenticator.checked = time.Now()
	info, err := os.Stat(authenticator.path)
	if err != nil {
		return Error.New("read tokens: %v", err)
	}
	if authenticator.entries != nil && info.ModTime().Equal(authenticator.modified) {
		return nil
	}
	data, err := os.ReadFile(authenticator.path)
	if err != nil {
		return Error.New("read tokens: %v", err)
	}
	entries, err := parse(data)
	if err != nil {
		return err
	}
	authenticator.entries, authenticator.modified = entries, info.ModTime()
	return nil
}

func parse(data []byte) ([]Entry, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var entries []Entry
	if err := json.Unmarshal(standard, &entries); err != nil {
		return nil, Error.Wrap(err)
	}
	var faults []string
	names := map[string]bool{}
	for _, entry := range entries {
		if fault := entry.fault(); fault != "" {
			faults = append(faults, "token "+entry.Name+": "+fault)
		}
		if names[entry.Name] {
			faults = append(faults, "token "+entry.Name+" is listed twice")
		}
		names[entry.Name] = true
	}
	if len(faults) > 0 {
		return nil, Error.New("%s", strings.Join(faults, "; "))
	}
	return entries, nil
}

func (entry Entry) fault() string {
	decoded, err := hex.DecodeString(entry.SHA256)
	switch {
	case entry.Name == "":
		return "the name is empty"
	case !slices.Contains([]Role{RoleOperator, RoleTeam, RoleReader, RolePlatform}, entry.Role):
		return "the role is none of operator, team, reader and platform"
	case (entry.Role == RoleTeam) != (entry.Team != ""):
		return "a team is given for the role team, and only there"
	case err != nil || len(decoded) != sha256.Size || entry.SHA256 != strings.ToLower(entry.SHA256):
		return "sha256 is not a hash of 64 lower-case hexadecimal digits"
	default:
		return ""
	}
}
