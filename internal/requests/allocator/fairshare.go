package allocator

import (
	"hash/fnv"
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// targets divides slots by demand. Up to the demand the division is max-min fair; what is left is spread
// evenly. Of the gateways without demand one, which differs between endpoints, keeps one slot, so that
// the first requests of an idle gateway need not wait for a share.
func targets(slots int, demands map[scheduler.GatewayID]int, endpoint scheduler.EndpointName) map[scheduler.GatewayID]int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(endpoint))
	order := slices.Sorted(maps.Keys(demands))
	if len(order) == 0 {
		return nil
	}
	// The rotation spreads the remainders of the division over the gateways.
	start := int(hash.Sum32() % uint32(len(order)))
	order = slices.Concat(order[start:], order[:start])
	given := make(map[scheduler.GatewayID]int, len(order))
	left := slots
	for _, gateway := range order {
		if demands[gateway] == 0 && left > 1 && len(order) > 1 {
			given[gateway]++
			left--
			break
		}
	}
	give := func(lacks func(gateway scheduler.GatewayID) int) bool {
		best, most := scheduler.GatewayID(""), 0
		for _, gateway := range order {
			if lack := lacks(gateway); lack > most {
				best, most = gateway, lack
			}
		}
		if most > 0 {
			given[best]++
			left--
		}
		return most > 0
	}
	fair := func(gateway scheduler.GatewayID) int {
		if given[gateway] >= demands[gateway] {
			return 0
		}
		return slots + 1 - given[gateway]
	}
	even := func(gateway scheduler.GatewayID) int { return slots + 1 - (given[gateway] - demands[gateway]) }
	for left > 0 && give(fair) {
	}
	for left > 0 && give(even) {
	}
	return given
}
