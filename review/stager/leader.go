package stager

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
)

// Leader returns the core that says in its log that it leads, nil if none does. Nothing is judged by it.
func (domain *Domain) Leader() *VM {
	var leader *VM
	var latest uint64
	for _, core := range domain.Cores {
		if term, leads := core.leadership(); leads && term >= latest {
			leader, latest = core, term
		}
	}
	return leader
}

// leadership returns the last term for which a VM has taken the lead, and whether it hasn't lost the lead since.
func (vm *VM) leadership() (term uint64, leads bool) {
	log, err := os.ReadFile(filepath.Join(vm.folder, "log"))
	if err != nil {
		return 0, false
	}
	for line := range bytes.Lines(log) {
		var entry struct {
			Event string `json:"event"`
			Term  uint64 `json:"term"`
		}
		if json.Unmarshal(line, &entry) != nil {
			continue
		}
		switch entry.Event {
		case "leadershipTaken":
			term, leads = entry.Term, true
		case "leadershipLost":
			leads = false
		}
	}
	return term, leads
}
