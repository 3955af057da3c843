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
	// maxServices limits the number of services of a data centre, and thereby the size of its summaries.
	maxServices = 1000
)

// summary is the report on the services of a data centre that is sent to the other data centres.
type summary struct {
	DataCentre scheduler.DataCentreName `cbor:"d"`
	Address    string                   `cbor:"a"`
	Services   []serviceSummary         `cbor:"s"`
}

// serviceSummary is encoded as an array to omit the field names from each element.
type serviceSummary struct {
	_         struct{} `cbor:",toarray"`
	Service   scheduler.ServiceName
	Endpoints int
	Slots     int
	Free      int
}

// remoteSummary is the last summary received from another data centre.
type remoteSummary struct {
	received time.Time
	services map[scheduler.ServiceName]scheduler.RemoteService
}

// Remotes returns the reports of other data centres about a service that are at most 3 s old, sorted by data centre.
func (registrar *Registrar) Remotes(service scheduler.ServiceName) []scheduler.RemoteService {
	now := time.Now()
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	var remoteServices []scheduler.RemoteService
	for _, remote := range registrar.remotes {
		if remoteService, ok := remote.services[service]; ok && now.Sub(remote.received) < ttl {
			remoteServices = append(remoteServices, remoteService)
		}
	}
	slices.SortFunc(remoteServices, func(a, b scheduler.RemoteService) int {
		if a.DataCentre < b.DataCentre {
			return -1
		}
		return 1
	})
	return remoteServices
}

// sendSummaries sends a summary of the local services to the gateways of other data centres. The connected gateways
// of this data centre partition the receivers among themselves, so that each receiver gets one summary per interval
// of 1 s.
func (registrar *Registrar) sendSummaries(context.Context) {
	now := time.Now()
	gateways := slices.Clone(registrar.listGateways())
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
		switch peer := registrar.peers[gateway.VM]; {
		case gateway.DataCentre != registrar.self.DataCentre:
			receivers = append(receivers, gateway)
		case gateway.VM == registrar.self.VM, peer != nil && now.Sub(peer.lastResponse) < peerTimeout:
			senders = append(senders, gateway.VM)
		}
	}
	report := registrar.buildSummary(now)
	registrar.mutex.Unlock()
	for position := range report.Services {
		report.Services[position].Free = registrar.freeSlots(report.Services[position].Service)
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

func (registrar *Registrar) buildSummary(now time.Time) summary {
	registrar.table.expire(now)
	report := summary{DataCentre: registrar.self.DataCentre, Address: registrar.callerAddress}
	for service := range registrar.table.byService {
		serviceReport := serviceSummary{Service: service}
		for _, endpoint := range registrar.table.listEndpoints(service, now).endpoints {
			serviceReport.Endpoints++
			serviceReport.Slots += endpoint.Slots
		}
		report.Services = append(report.Services, serviceReport)
	}
	return report
}

// handleSummary stores the summary of another data centre.
func (registrar *Registrar) handleSummary(_ context.Context, from scheduler.VMName, body []byte) ([]byte, error) {
	var report summary
	if err := cbor.Unmarshal(body, &report); err != nil {
		return nil, Error.New("decode summary: %v", err)
	}
	known := slices.ContainsFunc(registrar.listGateways(), func(gateway scheduler.Gateway) bool {
		return gateway.VM == from && gateway.DataCentre == report.DataCentre
	})
	if !known || report.DataCentre == registrar.self.DataCentre || len(report.Services) > maxServices {
		return nil, Error.New("rejected summary of data centre %s from VM %s", report.DataCentre, from)
	}
	services := map[scheduler.ServiceName]scheduler.RemoteService{}
	for _, serviceReport := range report.Services {
		services[serviceReport.Service] = scheduler.RemoteService{
			DataCentre: report.DataCentre, Address: report.Address,
			Endpoints: serviceReport.Endpoints, Slots: serviceReport.Slots, Free: serviceReport.Free,
		}
	}
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.remotes[report.DataCentre] = remoteSummary{received: time.Now(), services: services}
	return nil, nil
}
