package stager

import "time"

// Fleet is a deployment with its runners, ready for jobs.
type Fleet struct {
	Domain  *Domain
	Ledger  *Ledger
	Runners []*Runner
}

// settleTime is how long a deployment runs before the first job, so that all runners are known.
const settleTime = 4 * time.Second

// NewFleet starts three cores and two entry VMs with a configuration, and runners of the given kinds. change may change the
// domain before it starts.
func NewFleet(recorder *Recorder, program string, cpu int, labels []string, route *Route, change func(domain *Domain)) (*Fleet, error) {
	domain, err := NewDomain(program, 3, 2, recorder)
	if err != nil {
		return nil, err
	}
	if change != nil {
		change(domain)
	}
	fleet := &Fleet{Domain: domain, Ledger: NewLedger(recorder)}
	if err := fleet.start(cpu, labels, route); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

func (fleet *Fleet) start(cpu int, labels []string, route *Route) error {
	if err := fleet.Domain.StartAll(); err != nil {
		return err
	}
	if err := fleet.Domain.Configure(3, true, *route); err != nil {
		return err
	}
	for number, label := range labels {
		runner := fleet.Domain.NewRunner(number, cpu, route.Service, fleet.Ledger)
		if err := runner.Boot(label); err != nil {
			return err
		}
		fleet.Runners = append(fleet.Runners, runner)
	}
	if err := fleet.Domain.AwaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// Close ends all runners and processes.
func (fleet *Fleet) Close() {
	for _, runner := range fleet.Runners {
		runner.Crash()
	}
	fleet.Domain.Close()
}

// Same returns a list of equal labels.
func Same(label string, count int) []string {
	labels := make([]string, count)
	for number := range labels {
		labels[number] = label
	}
	return labels
}
