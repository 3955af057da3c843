package budgeter

import "testing"

// Guards against parts of the room that add up to more than the room, or to so much that the files of an ordinary group
// reach into the reserve.
func TestPartsFitIntoRoom(t *testing.T) {
	for name, room := range map[string]int64{
		"smallest": MinRoom, "128 MB": 128_000_000, "156 MB": 156_000_000, "default": DefaultRoom, "largest": MaxRoom,
	} {
		t.Run(name, func(t *testing.T) {
			budget := New(room, 1)
			log := budget.LogBytes() + budget.KeptBytes() + budget.SegmentBytes()
			if log <= 0 || log > room*7/32 {
				t.Errorf("got log of %d bytes, want at most 7/32 of %d", log, room)
			}
			if got := log + budget.ReserveBytes(); got > room/2 {
				t.Errorf("got log and reserve of %d bytes, want at most half of %d", got, room)
			}
		})
	}
}

// Guards against new work that takes the room which ends and the next snapshot need, and against a refusal without need.
func TestAcceptsNewWork(t *testing.T) {
	tests := map[string]struct {
		budget Budget
		used   int64
		want   bool
	}{
		"empty":              {New(128_000_000, 1), 0, true},
		"reserve is free":    {New(128_000_000, 1), 96_000_000, true},
		"reserve is in use":  {New(128_000_000, 1), 96_000_001, false},
		"room is exceeded":   {New(128_000_000, 1), 130_000_000, false},
		"shared disk":        {New(128_000_000, 4), 24_000_001, false},
		"default room":       {New(0, 1), 700 << 20, true},
		"default room, used": {New(0, 1), 800 << 20, false},
		"no limit":           {Budget{}, 1 << 50, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.budget.AcceptsNewWork(test.used); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}
