// Package authenticator identifies the holders of API tokens, such as operators and teams. Only hashes of the
// tokens are stored.
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

// reloadInterval is the minimum time between two checks of the token file for changes.
const reloadInterval = 5 * time.Second

// Role determines what the holder of a token may do.
type Role string

// Values of Role.
const (
	// RoleOperator has full access to the API.
	RoleOperator Role = "operator"
	// RoleTeam may submit, view and cancel the jobs of its own team.
	RoleTeam Role = "team"
	// RoleReader has read-only access.
	RoleReader Role = "reader"
	// RolePlatform may only announce endpoints and exchange messages with workers.
	RolePlatform Role = "platform"
)

// Identity is the authenticated holder of a token.
type Identity struct {
	name string
	role Role
	team scheduler.TeamName
}

// NewIdentity returns an Identity. The team is empty except for RoleTeam.
func NewIdentity(name string, role Role, team scheduler.TeamName) Identity {
	return Identity{name: name, role: role, team: team}
}

// Name returns the holder's name as recorded in the audit trail.
func (identity Identity) Name() string { return identity.name }

// Role returns the holder's role.
func (identity Identity) Role() Role { return identity.role }

// Team returns the holder's team. It is empty for all roles except RoleTeam.
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

// MaySee reports whether the holder may view jobs of a team.
func (identity Identity) MaySee(team scheduler.TeamName) bool {
	return identity.MayUseAPI() && (identity.role != RoleTeam || identity.team == team)
}

// Entry is one token in the token file. It is a settings type.
type Entry struct {
	Name string             `json:"name"`
	Role Role               `json:"role"`
	Team scheduler.TeamName `json:"team,omitempty"`
	// SHA256 is the hash of the token in hexadecimal digits. Since tokens are random, a fast hash without salt is
	// sufficient.
	SHA256 string `json:"sha256"`
}

// NewToken returns a random token and its hash.
func NewToken() (token, hash string) {
	var secret [32]byte
	_, _ = rand.Read(secret[:]) // crypto/rand.Read never returns an error; it crashes the process instead.
	token = base64.RawURLEncoding.EncodeToString(secret[:])
	return token, hashToken(token)
}

func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Authenticator authenticates tokens against a token file, which it reloads after a change. It is safe for concurrent
// use.
type Authenticator struct {
	path string

	mutex    sync.Mutex
	entries  []Entry
	modified time.Time
	checked  time.Time
}

// Open reads the token file, a list of Entry in JSON with comments. If the list is invalid, the error lists all its
// faults.
func Open(path string) (*Authenticator, error) {
	authenticator := &Authenticator{path: path}
	if err := authenticator.reload(); err != nil {
		return nil, err
	}
	return authenticator, nil
}

// Identify returns the holder of a token. ok is false if the token is unknown.
func (authenticator *Authenticator) Identify(token string) (identity Identity, ok bool) {
	authenticator.mutex.Lock()
	defer authenticator.mutex.Unlock()
	if time.Since(authenticator.checked) >= reloadInterval {
		// If the file is invalid, the tokens read before remain valid, so that a mistake does not lock out all
		// operators.
		_ = authenticator.reload()
	}
	hash := hashToken(token)
	for _, entry := range authenticator.entries {
		// The loop does not stop at a match, so that its duration does not reveal the position of the token.
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
		if problem := entry.problem(); problem != "" {
			faults = append(faults, "token "+entry.Name+": "+problem)
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

func (entry Entry) problem() string {
	decoded, err := hex.DecodeString(entry.SHA256)
	switch {
	case entry.Name == "":
		return "the name is empty"
	case !slices.Contains([]Role{RoleOperator, RoleTeam, RoleReader, RolePlatform}, entry.Role):
		return "the role is not one of operator, team, reader and platform"
	case (entry.Role == RoleTeam) != (entry.Team != ""):
		return "a team is required for the role team and not allowed for other roles"
	case err != nil || len(decoded) != sha256.Size || entry.SHA256 != strings.ToLower(entry.SHA256):
		return "sha256 is not a hash of 64 lower-case hexadecimal digits"
	default:
		return ""
	}
}
