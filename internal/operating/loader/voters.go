package loader

import (
	"fmt"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// localVoters and dataCentreVoters follow from section 4 of the design page: with two of three voters
// local and two with a disk, a data centre that is cut off goes on, and every majority of two holds a
// synced disk.
const (
	dataCentreVoters = 3
	localVoters      = 2
	diskVoters       = 2
)

// checkGroups checks that there is one group per data centre and one for the configuration, and that
// each keeps the voter rule.
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
		case !checker.name(path+".name", name):
		case !slices.Contains(want, name):
			checker.document.add(path+".name", "no group of this name, %s", hint(name, want))
		case seen[name]:
			checker.document.add(path+".name", "group %q is listed twice", name)
		default:
			checker.checkGroup(path, group)
		}
		seen[name] = true
	}
	missing := slices.DeleteFunc(want, func(name string) bool { return seen[name] })
	if len(missing) > 0 && !checker.document.faulty["groups"] {
		checker.document.add("groups", "missing groups: %s", strings.Join(missing, ", "))
	}
}

func (checker *checker) checkGroup(path string, group Group) {
	valid := !checker.document.faulty[path+".members"]
	seen := map[scheduler.VMName]bool{}
	for number, member := range group.Members {
		memberPath := fmt.Sprintf("%s.members[%d]", path, number)
		if !checker.knownVM(memberPath+".vm", memberPath+".dataCentre", member.VM, member.DataCentre) {
			valid = false
		}
		if seen[member.VM] {
			checker.document.add(memberPath+".vm", "VM %q is listed twice", member.VM)
			valid = false
		}
		seen[member.VM] = true
		for _, key := range []string{".disk", ".voter", ".standsForElection"} {
			valid = valid && !checker.undecoded[memberPath+key]
		}
		if member.StandsForElection && !member.Voter {
			checker.document.add(memberPath+".standsForElection", "a learner cannot stand for election")
			valid = false
		}
	}
	// The voters are counted only if all members are valid, since one wrong name would otherwise be
	// reported several times.
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
			checker.document.add(path+".members", "VM %q of this data centre is missing; it needs the group as voter or learner", vm.Name)
		}
	}
}

func (checker *checker) checkDataCentreVoters(path string, group Group) {
	voters, disks, local, standing := 0, 0, 0, 0
	for number, member := range group.Members {
		isLocal := string(member.DataCentre) == string(group.Name)
		if member.StandsForElection && !isLocal {
			checker.document.add(fmt.Sprintf("%s.members[%d].standsForElection", path, number),
				"only VMs of data centre %q can become leader of its group", group.Name)
		}
		if !member.Voter {
			continue
		}
		voters++
		disks += count(member.Disk)
		local += count(isLocal)
		standing += count(member.StandsForElection && isLocal)
	}
	add := func(format string, args ...any) { checker.document.add(path+".members", format, args...) }
	if voters != dataCentreVoters {
		add("group %q has %d voters, want %d", group.Name, voters, dataCentreVoters)
	}
	if disks < diskVoters {
		add("group %q has %d voters with a disk, want at least %d, so that every majority holds a synced disk",
			group.Name, disks, diskVoters)
	}
	if local != localVoters {
		add("group %q has %d voters in its own data centre, want %d, so that it goes on when it is cut off and a voter outside survives",
			group.Name, local, localVoters)
	}
	if standing == 0 {
		add("group %q has no voter that stands for election", group.Name)
	}
}

func (checker *checker) checkGlobalVoters(path string, group Group) {
	voters, standing := 0, 0
	dataCentres := map[scheduler.DataCentreName]scheduler.VMName{}
	for number, member := range group.Members {
		if !member.Voter {
			continue
		}
		memberPath := fmt.Sprintf("%s.members[%d]", path, number)
		if !member.Disk {
			checker.document.add(memberPath+".disk", "voters of group %q need a disk", group.Name)
		}
		if other, taken := dataCentres[member.DataCentre]; taken {
			checker.document.add(memberPath+".dataCentre",
				"voter %q is in the same data centre; voters of group %q are in different ones", other, group.Name)
		}
		dataCentres[member.DataCentre] = member.VM
		voters++
		standing += count(member.StandsForElection)
	}
	if voters != 3 && voters != 5 {
		checker.document.add(path+".members", "group %q has %d voters, want 3 or 5", group.Name, voters)
	}
	if standing == 0 {
		checker.document.add(path+".members", "group %q has no voter that stands for election", group.Name)
	}
}

// checkDisks checks that each VM has a disk in all groups or in none, and that the data folder is set
// exactly when the own VM has one.
func (checker *checker) checkDisks() {
	disks := map[scheduler.VMName]bool{}
	for groupNumber, group := range checker.settings.Groups {
		for number, member := range group.Members {
			path := fmt.Sprintf("groups[%d].members[%d].disk", groupNumber, number)
			if checker.undecoded[path] {
				continue
			}
			disk, known := disks[member.VM]
			if known && disk != member.Disk {
				checker.document.add(path, "VM %q has disk %v in another group, got %v", member.VM, disk, member.Disk)
			}
			if !known {
				disks[member.VM] = member.Disk
			}
		}
	}
	disk, isMember := disks[checker.settings.VM]
	hasFolder := checker.settings.DataFolder != ""
	switch {
	case !isMember || checker.document.faulty["dataFolder"]:
	case disk && !hasFolder:
		checker.document.add("dataFolder", "is missing or empty, but VM %q is a member with a disk", checker.settings.VM)
	case !disk && hasFolder:
		checker.document.add("dataFolder", "is set, but VM %q is a member without a disk", checker.settings.VM)
	}
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
