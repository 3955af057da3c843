package replicator

import "testing"

// Checks that the schedules detect protocol faults: each mutation must cause a violation.
func TestMutationsAreCaught(t *testing.T) {
	// The slow mutations need up to a few hundred seeds to be detected and run only on request.
	tests := map[string]struct {
		hooks hooks
		slow  bool
	}{
		"skip a sync":                 {hooks{skipSync: true}, false},
		"count a learner as a voter":  {hooks{countLearners: true}, false},
		"drop the term check":         {hooks{dropTermCheck: true}, false},
		"forget a vote":               {hooks{forgetVote: true}, false},
		"count an old incarnation":    {hooks{ignoreIncarnation: true}, true},
		"vote although a leader runs": {hooks{ignoreLeaderContact: true}, true},
		"twice the lease":             {hooks{longLease: true}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if test.slow && !*slowMutations {
				t.Skip("needs -slow-mutations")
			}
			for seed := *firstSeed; seed < *firstSeed+*mutations; seed++ {
				var violations []string
				inBubble(t, func(t *testing.T) { violations = runSchedule(t, seed, test.hooks, diskSchedule{}) })
				if len(violations) > 0 {
					t.Logf("%s: detected by schedule %d: %s", name, seed-*firstSeed+1, violations[0])
					return
				}
			}
			t.Errorf("not detected by %d seeds", *mutations)
		})
	}
}
