package journaler

import (
	"errors"
	"io/fs"
	"regexp"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// formatVersion is the version of the file format that this package writes. Folders with a higher version are
// refused.
const formatVersion = 2

// groupPattern restricts group names to valid folder names.
var groupPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

// Identity identifies the VM, the group and the incarnation that a folder belongs to.
type Identity struct {
	vm          scheduler.VMName
	group       scheduler.GroupName
	incarnation scheduler.Incarnation
}

// NewIdentity returns an Identity. The incarnation is stored if the folder is new. An existing folder keeps
// its stored incarnation, because its VM has not lost any state.
func NewIdentity(vm scheduler.VMName, group scheduler.GroupName, incarnation scheduler.Incarnation) Identity {
	return Identity{vm: vm, group: group, incarnation: incarnation}
}

// VM returns the name of the VM.
func (identity Identity) VM() scheduler.VMName { return identity.vm }

// Group returns the name of the group.
func (identity Identity) Group() scheduler.GroupName { return identity.group }

// Incarnation returns the incarnation under which the VM votes in the group.
func (identity Identity) Incarnation() scheduler.Incarnation { return identity.incarnation }

func (identity Identity) check() error {
	if identity.vm == "" || identity.incarnation == 0 {
		return Error.New("identity needs a VM name and an incarnation")
	}
	if !groupPattern.MatchString(string(identity.group)) {
		return Error.New("invalid group name %q: only a-z, 0-9 and - are allowed, and - not first", identity.group)
	}
	return nil
}

// identityRecord is the content of the identity file.
type identityRecord struct {
	Format      int                   `cbor:"format"`
	VM          scheduler.VMName      `cbor:"vm"`
	Group       scheduler.GroupName   `cbor:"group"`
	Incarnation scheduler.Incarnation `cbor:"incarnation"`
}

// loadIdentity reads the identity file and compares it with the wanted identity. If the file does not exist,
// it is written. The result has the stored incarnation.
func (folder folder) loadIdentity(wanted Identity) (Identity, error) {
	stored, err := folder.readRecordFile("identity")
	if errors.Is(err, fs.ErrNotExist) {
		return wanted, folder.writeRecordFile("identity", record{Identity: &identityRecord{
			Format: formatVersion, VM: wanted.vm, Group: wanted.group, Incarnation: wanted.incarnation,
		}})
	}
	if err != nil {
		return Identity{}, err
	}
	found := stored.Identity
	switch {
	case found == nil:
		return Identity{}, Error.New("%w: %s: no identity record", ErrDamaged, folder.path("identity"))
	case found.Format > formatVersion:
		return Identity{}, Error.New("%w: %s has format %d, this program supports formats up to %d",
			ErrNewerFormat, folder.name, found.Format, formatVersion)
	case found.VM != wanted.vm || found.Group != wanted.group:
		return Identity{}, Error.New("%w: %s belongs to VM %q, group %q, not to VM %q, group %q",
			ErrOwnerMismatch, folder.name, found.VM, found.Group, wanted.vm, wanted.group)
	}
	wanted.incarnation = found.Incarnation
	return wanted, nil
}
