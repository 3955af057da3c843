package registrar

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	kindSummary scheduler.MessageKind = "summary"
	// serviceLimit bounds the services of a data centre, and so the size of its summaries.
	serviceLimit = 1000
)

// summary is what a data centre tells the others about its services.
type summary struct {
	DataCentre scheduler.DataCentreName `cbor:"d"`
	Address    string                   `cbor:"a"`
	Services   []serviceSummary         `cbor:"s"`
}

// serviceSummary is encoded as an array, which saves the field names in every element.
type serviceSummary struct {
	_         struct{} `cbor:",toarray"`
	Service   scheduler.ServiceName
	Endpoints int
	Slots     int
	Free      int
}

// remote is the last summary of another data centre.
type remote struct {
	received time.Time
	services map[scheduler.ServiceName]scheduler.RemoteService
}

// Remotes returns what other data centres reported about a service in the last 3 s, in the order of
// their names.
func (registrar *Registrar) Remotes(service scheduler.ServiceName) []scheduler.RemoteService {
	now := time.Now()
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	var found []scheduler.RemoteService
	for _, reported := range registrar.remotes {
		if offered, ok := reported.services[service]; ok && now.Sub(reported.received) < lifetime {
			found = append(found, offered)
		}
	}
	slices.SortFunc(found, func(a, b scheduler.RemoteService) int {
		if a.DataCentre < b.DataCentre {
			return -1
		}
		return 1
	})
	return found
}

// sendSummaries tells the gateways of other data centres about the local services. The connected
// gateways of this data centre divide the receivers among themselves, so that each receiver gets one
// summary per second.
func (registrar *Registrar) sendSummaries(context.Context) {
	now := time.Now()
	gateways := slices.Clone(registrar.gateways())
	slices.SortFunc(gateways, func(a, b scheduler.Gateway) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	registrar.mutex.Lock()
	var senders []scheduler.VMName
	var receivers []scheduler.Gateway
	for _, gateway := range gateways {
		switch known := registrar.peers[gateway.VM]; {
		case gateway.DataCentre != registrar.self.DataCentre:
			receivers = append(receivers, gateway)
		case gateway.VM == registrar.self.VM, known != nil && now.Sub(known.answered) < silentAfter:
			senders = append(senders, gateway.VM)
		}
	}
	report := registrar.summarise(now)
	registrar.mutex.Unlock()
	for position := range report.Services {
		report.Services[position].Free = registrar.free(report.Services[position].Service)
	}
	body, err := cbor.Marshal(report)
	if err != nil || len(senders) == 0 {
		return
	}
	for position, receiver := range receivers {
		if senders[position%len(senders)] == registrar.self.VM {
			registrar.transport.Send(receiver.VM, scheduler.GlobalGroup, kindSummary, body)
		}
	}
}

func (registrar *Registrar) summarise(now time.Time) summary {
	registrar.table.expire(now)
	report := summary{DataCentre: registrar.self.DataCentre, Address: registrar.address}
	for service := range registrar.table.byService {
		line := serviceSummary{Service: service}
		for _, endpoint := range registrar.table.list(service, now).endpoints {
			line.Endpoints++
			line.Slots += endpoint.Slots
		}
		report.Services = append(report.Services, line)
	}
	return report
}

// receiveSummary stores the summary of another data centre.
func (registrar *Registrar) receiveSummary(_ context.Context, from scheduler.VMName, body []byte) ([]byte, error) {
	var report summary
	if err := cbor.Unmarshal(body, &report); err != nil {
		return nil, Error.New("read summary: %v", err)
	}
	known := slices.ContainsFunc(registrar.gateways(), func(gateway scheduler.Gateway) bool {
		return gateway.VM == from && gateway.DataCentre == report.DataCentre
	})
	if !known || report.DataCentre == registrar.self.DataCentre || len(report.Services) > serviceLimit {
		return nil, Error.New("summary of %s from %s refused", report.DataCentre, from)
	}
	services := map[scheduler.ServiceName]scheduler.RemoteService{}
	for _, line := range report.Services {
		services[line.Service] = scheduler.RemoteService{
			DataCentre: report.DataCentre, Address: report.Address,
			Endpoints: line.Endpoints, Slots: line.Slots, Free: line.Free,
		}
	}
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.remotes[report.DataCentre] = remote{received: time.Now(), services: services}
	return nil, nil
}
