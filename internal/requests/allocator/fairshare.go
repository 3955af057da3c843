package allocator

import (
	"hash/fnv"
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fairShares divides the slots of an endpoint among gateways. The division is max-min fair up to the demands; the
// remaining slots are spread evenly. At each endpoint, one of the gateways without demand gets one slot, so that the
// first requests of an idle gateway need not wait for a share. The endpoint's name determines which gateway it is.
func fairShares(slots int, demands map[scheduler.GatewayID]int,
	endpoint scheduler.EndpointName,
) map[scheduler.GatewayID]int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(endpoint))
	gateways := slices.Sorted(maps.Keys(demands))
	if len(gateways) == 0 {
		return nil
	}
	// Rotating the order by a hash of the endpoint's name gives the remainders of the division to different gateways.
	start := int(hash.Sum32() % uint32(len(gateways)))
	gateways = slices.Concat(gateways[start:], gateways[:start])
	shares := make(map[scheduler.GatewayID]int, len(gateways))
	remaining := slots
	for _, gateway := range gateways {
		if demands[gateway] == 0 && remaining > 1 && len(gateways) > 1 {
			shares[gateway]++
			remaining--
			break
		}
	}
	assignNext := func(priority func(gateway scheduler.GatewayID) int) bool {
		best, highest := scheduler.GatewayID(""), 0
		for _, gateway := range gateways {
			if value := priority(gateway); value > highest {
				best, highest = gateway, value
			}
		}
		if highest > 0 {
			shares[best]++
			remaining--
		}
		return highest > 0
	}
	byUnmetDemand := func(gateway scheduler.GatewayID) int {
		if shares[gateway] >= demands[gateway] {
			return 0
		}
		return slots + 1 - shares[gateway]
	}
	byLeastSurplus := func(gateway scheduler.GatewayID) int { return slots + 1 - (shares[gateway] - demands[gateway]) }
	for remaining > 0 && assignNext(byUnmetDemand) {
	}
	for remaining > 0 && assignNext(byLeastSurplus) {
	}
	return shares
}
