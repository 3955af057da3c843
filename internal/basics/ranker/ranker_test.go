package ranker

import (
	"fmt"
	"slices"
	"testing"
)

const keys = 6000

// Guards against a VM that is first for most of the workers, and against the loss of a VM that also moves workers of
// other VMs.
func TestRank(t *testing.T) {
	candidates := []string{"10.1.0.1:7720", "10.2.0.1:7720", "10.3.0.1:7720", "10.4.0.1:7720"}
	counts := map[string]int{}
	for number := range keys {
		key := fmt.Sprintf("i-%08x", number)
		ranked := Rank(candidates, key)
		counts[ranked[0]]++
		if got := Rank([]string{candidates[3], candidates[2], candidates[1], candidates[0]}, key); !slices.Equal(got, ranked) {
			t.Fatalf("key %s: got %v for reversed candidates, want %v", key, got, ranked)
		}
		if got, want := Rank(candidates[:3], key)[0], ranked[0]; want != candidates[3] && got != want {
			t.Fatalf("key %s moved from %s to %s with the loss of another candidate", key, want, got)
		}
	}
	for _, candidate := range candidates {
		if got, share := counts[candidate], keys/len(candidates); got < share*8/10 || got > share*12/10 {
			t.Errorf("%s: got %d keys, want %d within a fifth", candidate, got, share)
		}
	}
}
