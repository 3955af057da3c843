package journaler

import (
	"errors"
	"io/fs"
	"regexp"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// formatVersion is the version of the files that this package writes. A folder with a higher one is
// refused.
const formatVersion = 2

// groupPattern keeps group names usable as folder names.
var groupPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

// Identity tells whose log a folder holds.
type Identity struct {
	vm          scheduler.VMName
	group       scheduler.GroupName
	incarnation scheduler.Incarnation
}

// NewIdentity returns an Identity. The incarnation is stored when the folder is new; an existing
// folder keeps its own, since its VM has lost nothing.
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
		return Error.New("group name %q is not made of a-z, 0-9 and -", identity.group)
	}
	return nil
}

// identityRecord is the contents of the identity file.
type identityRecord struct {
	Format      int                   `cbor:"format"`
	VM          scheduler.VMName      `cbor:"vm"`
	Group       scheduler.GroupName   `cbor:"group"`
	Incarnation scheduler.Incarnation `cbor:"incarnation"`
}

// loadIdentity reads the identity file and compares it with the wanted identity. It writes the file
// if the folder has none.
func (folder folder) loadIdentity(wanted Identity) (Identity, error) {
	stored, err := folder.readOne("identity")
	if errors.Is(err, fs.ErrNotExist) {
		return wanted, folder.writeOne("identity", record{Identity: &identityRecord{
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
		return Identity{}, Error.New("%w: %s has format %d, this program knows formats up to %d",
			ErrNewerFormat, folder.name, found.Format, formatVersion)
	case found.VM != wanted.vm || found.Group != wanted.group:
		return Identity{}, Error.New("%w: %s belongs to VM %q, group %q, not to VM %q, group %q",
			ErrOwnerMismatch, folder.name, found.VM, found.Group, wanted.vm, wanted.group)
	}
	wanted.incarnation = found.Incarnation
	return wanted, nil
}
