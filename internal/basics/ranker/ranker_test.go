package ranker

import (
	"fmt"
	"slices"
	"testing"
)

const keys = 6000

// Guards against a VM that gets most of the workers, and one whose loss moves workers of other VMs too.
func TestRank(t *testing.T) {
	all := []string{"10.1.0.1:7720", "10.2.0.1:7720", "10.3.0.1:7720", "10.4.0.1:7720"}
	parts := map[string]int{}
	for number := range keys {
		key := fmt.Sprintf("i-%08x", number)
		ranked := Rank(all, key)
		parts[ranked[0]]++
		if got := Rank([]string{all[3], all[2], all[1], all[0]}, key); !slices.Equal(got, ranked) {
			t.Fatalf("key %s: got %v for reversed candidates, want %v", key, got, ranked)
		}
		if got, want := Rank(all[:3], key)[0], ranked[0]; want != all[3] && got != want {
			t.Fatalf("key %s moved from %s to %s with the loss of another candidate", key, want, got)
		}
	}
	for _, candidate := range all {
		if got, share := parts[candidate], keys/len(all); got < share*8/10 || got > share*12/10 {
			t.Errorf("%s: got %d keys, want %d within a fifth", candidate, got, share)
		}
	}
}
