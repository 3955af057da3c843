package packer

// Room is what the limits that never yield leave to a group of waiting tasks, whatever preferences keep it off the
// workers, see Exclusion.IsSoft.
type Room struct {
	places  int
	workers map[Exclusion]int
}

// Places returns how many tasks of the group fit.
func (room Room) Places() int { return room.places }

// Workers returns the number of workers on which a task fits, by the reason why they accept none. Workers that accept one
// count under NotExcluded.
func (room Room) Workers() map[Exclusion]int { return room.workers }

// ExamineRoom returns the room for a group, up to limit tasks on each worker. It changes nothing.
func ExamineRoom(workers []*Worker, group *Group, limit int) Room {
	room := Room{workers: map[Exclusion]int{}}
	for _, worker := range workers {
		places := group.places(worker, limit)
		if places == 0 {
			continue
		}
		room.places += places
		room.workers[group.exclusion(worker, 0)]++
	}
	return room
}

// places returns how many tasks of the group fit on a worker, up to limit.
func (group *Group) places(worker *Worker, limit int) int {
	left := *worker
	places := 0
	for places < limit && group.servingExclusion(&left) == NotExcluded && group.hardExclusion(&left, places) == NotExcluded {
		left.Free = left.Free.Minus(group.Step.Reserved())
		left.Slack -= group.Step.Request.MilliCores
		places++
	}
	return places
}

// servingExclusion returns whether a fill task would take CPU time that the other tasks on the worker need. It is no room
// for fill tasks, although the exclusion is soft.
func (group *Group) servingExclusion(worker *Worker) Exclusion {
	step := group.Step
	switch {
	case !step.Fill:
		return NotExcluded
	case worker.Slack < step.Request.MilliCores/minSlackDivisor:
		return ExcludedBySlack
	case worker.excess(step) > 0:
		return ExcludedByInterference
	}
	return NotExcluded
}
