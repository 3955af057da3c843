// Package budgeter divides the room of a disk among the files of a replicated group. It contains only arithmetic.
//
// Let N be the size of a snapshot, A that of the largest append, and U the bytes that are appended from the time when a
// snapshot falls due until it is stored. The files of a group then take at most
//
//	2N + max(L, U) + U + K + S + A
//
// bytes: the old snapshot and the one that is being written; L bytes of log after which a snapshot falls due, or the U
// bytes that were appended during the one before if that is more; the U bytes that are appended during this one; K bytes
// of entries that are kept before a snapshot; and S + A bytes of the first segment, which is removed only as a whole and
// may be one append larger than S.
//
// With room R, L is at most R/8, K at most R/32 and S at most R/16. As long as U is at most L, 2N + U + A may take up to
// 25/32 of the room. The last quarter of the room is a reserve: while the files reach into it, new work is refused, so
// that hard state, the snapshot that frees room, and the entries of work in progress still find room.
package budgeter

import "time"

const (
	// MinRoom is the smallest room that can be set. Below it, snapshots would fall due every few hundred entries.
	MinRoom = 16 << 20
	// DefaultRoom is the room that is assumed if none is set.
	DefaultRoom = 1 << 30
	// MaxRoom is the largest room that can be set.
	MaxRoom = 1 << 40

	// maxSegmentBytes and maxLogBytes also bound the memory of the log, which a journal holds completely.
	maxSegmentBytes = 16 << 20
	maxLogBytes     = 16 << 20
	maxKeptBytes    = 4 << 20
)

// RetryAfter is the recommended retry delay of work that is refused for lack of room. Within it, the snapshot that frees
// room is tried again.
const RetryAfter = 4 * time.Second

// Budget is the division of the room of a disk. The zero value sets no limits.
type Budget struct{ room int64 }

// New returns the budget of one of the parts that share a disk in equal shares. A room of 0 stands for DefaultRoom.
func New(room int64, parts int) Budget {
	if room == 0 {
		room = DefaultRoom
	}
	return Budget{room: room / int64(max(parts, 1))}
}

// Room returns the number of bytes that the files may take.
func (budget Budget) Room() int64 { return budget.room }

// SegmentBytes returns the size at which a new segment of the log is started.
func (budget Budget) SegmentBytes() int64 { return min(budget.room/16, maxSegmentBytes) }

// LogBytes returns the number of bytes of log after which a snapshot is due.
func (budget Budget) LogBytes() int64 { return min(budget.room/8, maxLogBytes) }

// KeptBytes returns the number of bytes of entries that are kept before the index of a snapshot.
func (budget Budget) KeptBytes() int64 { return min(budget.room/32, maxKeptBytes) }

// ReserveBytes returns the part of the room that is not available to new work.
func (budget Budget) ReserveBytes() int64 { return budget.room / 4 }

// AcceptsNewWork reports whether new work may be accepted while the files take up used bytes. Ends, cancellations,
// configurations and evacuations are accepted in any case, because they let work end and so free room.
func (budget Budget) AcceptsNewWork(used int64) bool {
	return budget.room == 0 || used <= budget.room-budget.ReserveBytes()
}
