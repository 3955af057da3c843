package loader

import (
	"fmt"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// The voter rule for the group of a data centre, see section 4 of docs/design.md. With two of three voters in the data
// centre, the group keeps a majority when the data centre is cut off. With two of three voters on disk, every majority
// of two contains a synced disk.
const (
	dataCentreVoterCount = 3
	localVoterCount      = 2
	minDiskVoters        = 2
)

// checkGroups checks that there is exactly one group per data centre and one global group for the configuration, and
// that the voters of each group satisfy its voter rule.
func (checker *checker) checkGroups() {
	want := []string{string(scheduler.GlobalGroup)}
	for _, vm := range checker.settings.VMs {
		if name := string(vm.DataCentre); name != "" && !slices.Contains(want, name) {
			want = append(want, name)
		}
	}
	seen := map[string]bool{}
	for number, group := range checker.settings.Groups {
		path := fmt.Sprintf("groups[%d]", number)
		name := string(group.Name)
		switch {
		case !checker.checkName(path+".name", name):
		case !slices.Contains(want, name):
			checker.document.addFault(path+".name", "unknown group name, %s", suggestion(name, want))
		case seen[name]:
			checker.document.addFault(path+".name", "group %q is listed twice", name)
		default:
			checker.checkGroup(path, group)
		}
		seen[name] = true
	}
	missing := slices.DeleteFunc(want, func(name string) bool { return seen[name] })
	if len(missing) > 0 && !checker.document.invalidPaths["groups"] {
		checker.document.addFault("groups", "missing groups: %s", strings.Join(missing, ", "))
	}
}

func (checker *checker) checkGroup(path string, group Group) {
	valid := !checker.document.invalidPaths[path+".members"]
	seen := map[scheduler.VMName]bool{}
	for number, member := range group.Members {
		memberPath := fmt.Sprintf("%s.members[%d]", path, number)
		if !checker.checkVMReference(memberPath+".vm", memberPath+".dataCentre", member.VM, member.DataCentre) {
			valid = false
		}
		if seen[member.VM] {
			checker.document.addFault(memberPath+".vm", "VM %q is listed twice", member.VM)
			valid = false
		}
		seen[member.VM] = true
		for _, key := range []string{".disk", ".voter", ".standsForElection"} {
			valid = valid && !checker.undecodedPaths[memberPath+key]
		}
		if member.StandsForElection && !member.Voter {
			checker.document.addFault(memberPath+".standsForElection", "a learner cannot stand for election")
			valid = false
		}
	}
	// The voter rule is checked only if all members are valid. Otherwise a single invalid member would be reported
	// several times.
	if !valid {
		return
	}
	if group.Name == scheduler.GlobalGroup {
		checker.checkGlobalVoters(path, group)
		return
	}
	checker.checkDataCentreVoters(path, group)
	for _, vm := range checker.settings.VMs {
		if string(vm.DataCentre) == string(group.Name) && vm.Name != "" && !seen[vm.Name] {
			checker.document.addFault(path+".members",
				"VM %q of this data centre is missing; it must be a voter or learner of the group", vm.Name)
		}
	}
}

func (checker *checker) checkDataCentreVoters(path string, group Group) {
	voters, disks, local, candidates := 0, 0, 0, 0
	for number, member := range group.Members {
		isLocal := string(member.DataCentre) == string(group.Name)
		if member.StandsForElection && !isLocal {
			checker.document.addFault(fmt.Sprintf("%s.members[%d].standsForElection", path, number),
				"only VMs of data centre %q can become leader of its group", group.Name)
		}
		if !member.Voter {
			continue
		}
		voters++
		disks += toInt(member.Disk)
		local += toInt(isLocal)
		candidates += toInt(member.StandsForElection && isLocal)
	}
	add := func(format string, args ...any) { checker.document.addFault(path+".members", format, args...) }
	if voters != dataCentreVoterCount {
		add("group %q has %d voters, want %d", group.Name, voters, dataCentreVoterCount)
	}
	if disks < minDiskVoters {
		add("group %q has %d voters with a disk, want at least %d, so that every majority contains a synced disk",
			group.Name, disks, minDiskVoters)
	}
	if local != localVoterCount {
		add("group %q has %d voters in its own data centre, want %d, to keep a majority when cut off and one voter elsewhere",
			group.Name, local, localVoterCount)
	}
	if candidates == 0 {
		add("group %q has no voter that stands for election", group.Name)
	}
}

func (checker *checker) checkGlobalVoters(path string, group Group) {
	voters, candidates := 0, 0
	dataCentres := map[scheduler.DataCentreName]scheduler.VMName{}
	for number, member := range group.Members {
		if !member.Voter {
			continue
		}
		memberPath := fmt.Sprintf("%s.members[%d]", path, number)
		if !member.Disk {
			checker.document.addFault(memberPath+".disk", "voters of group %q need a disk", group.Name)
		}
		if other, taken := dataCentres[member.DataCentre]; taken {
			checker.document.addFault(memberPath+".dataCentre",
				"voter %q is in the same data centre; each voter of group %q must be in a different one", other, group.Name)
		}
		dataCentres[member.DataCentre] = member.VM
		voters++
		candidates += toInt(member.StandsForElection)
	}
	if voters != 3 && voters != 5 {
		checker.document.addFault(path+".members", "group %q has %d voters, want 3 or 5", group.Name, voters)
	}
	if candidates == 0 {
		checker.document.addFault(path+".members", "group %q has no voter that stands for election", group.Name)
	}
}

// checkDisks checks that each VM has a disk in all of its groups or in none, and that the data folder is set if and
// only if this VM has a disk.
func (checker *checker) checkDisks() {
	disks := map[scheduler.VMName]bool{}
	for groupNumber, group := range checker.settings.Groups {
		for number, member := range group.Members {
			path := fmt.Sprintf("groups[%d].members[%d].disk", groupNumber, number)
			if checker.undecodedPaths[path] {
				continue
			}
			disk, known := disks[member.VM]
			if known && disk != member.Disk {
				checker.document.addFault(path, "VM %q has disk %v in another group, got %v", member.VM, disk, member.Disk)
			}
			if !known {
				disks[member.VM] = member.Disk
			}
		}
	}
	disk, isMember := disks[checker.settings.VM]
	hasFolder := checker.settings.DataFolder != ""
	switch {
	case !isMember || checker.document.invalidPaths["dataFolder"]:
	case disk && !hasFolder:
		checker.document.addFault("dataFolder", "is missing or empty, but VM %q is a member with a disk", checker.settings.VM)
	case !disk && hasFolder:
		checker.document.addFault("dataFolder", "is set, but VM %q is a member without a disk", checker.settings.VM)
	}
}

func toInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
