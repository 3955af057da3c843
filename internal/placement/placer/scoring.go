package placer

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// exhaustiveBelow is the number of workers up to which every worker with room is scored.
	exhaustiveBelow = 128
	// draws is how many workers with room are scored in larger inventories. The best of 32
	// random ones is among the best 9% of all with a probability of 95%.
	draws = 32
)

// Weights of the score. Harm is in units of the relative rise of a 99th latency percentile.
const (
	spreadWeight = 100.0
	// loadWeight makes load decide only between workers with nearly equal harm.
	loadWeight = 0.05
	// acceleratorWeight keeps workers with free accelerators for the tasks that need them.
	acceleratorWeight = 0.5
	// deviationWeight makes little-known pairings count as somewhat worse than their estimate.
	deviationWeight = 0.25
)

func (placer *Placer) decide(now time.Time, task *scheduler.PendingTask) (scheduler.Assignment, bool) {
	var best *host
	var bestScore float64
	for _, h := range placer.candidates(task, false) {
		score, harm := placer.score(h, task)
		if harm > placer.limit(task) {
			continue
		}
		if best == nil || score < bestScore {
			best, bestScore = h, score
		}
	}
	if best != nil {
		placer.hold(best, now, task)
		return scheduler.Assignment{Task: task.Task, Worker: best.worker.Name}, true
	}
	if task.Urgent {
		return placer.decideWithEviction(now, task)
	}
	return scheduler.Assignment{}, false
}

// candidates returns the workers to score: all with room in a small inventory, otherwise random
// ones, or all if every random one is to be avoided.
func (placer *Placer) candidates(task *scheduler.PendingTask, evict bool) []*host {
	placer.found = placer.found[:0]
	total := 0
	for _, p := range placer.poolOrder {
		if p.matches(&task.Spec) {
			total += p.count
		}
	}
	for _, p := range placer.poolOrder {
		if !p.matches(&task.Spec) {
			continue
		}
		if total <= placer.exhaustiveBelow {
			placer.collectAll(p, task, evict)
		} else {
			placer.collectSome(p, task, evict, 1+draws*p.count/total)
		}
	}
	if len(placer.found) > 0 || total <= placer.exhaustiveBelow || len(task.AvoidWorkers) == 0 {
		return placer.found
	}
	for _, p := range placer.poolOrder {
		if p.matches(&task.Spec) {
			placer.collectAll(p, task, evict)
		}
	}
	return placer.found
}

func (placer *Placer) collectAll(p *pool, task *scheduler.PendingTask, evict bool) {
	want := amountOf(task.Spec.Request)
	for slot := p.tree.next(0, want, evict); slot >= 0; slot = p.tree.next(slot+1, want, evict) {
		placer.consider(p.hosts[slot], task)
	}
}

func (placer *Placer) collectSome(p *pool, task *scheduler.PendingTask, evict bool, count int) {
	want := amountOf(task.Spec.Request)
	for range count {
		slot := p.tree.next(placer.random.IntN(len(p.hosts)), want, evict)
		if slot < 0 {
			slot = p.tree.next(0, want, evict)
		}
		if slot < 0 {
			return
		}
		if h := p.hosts[slot]; !slices.Contains(placer.found, h) {
			placer.consider(h, task)
		}
	}
}

func (placer *Placer) consider(h *host, task *scheduler.PendingTask) {
	if !slices.Contains(task.AvoidWorkers, h.worker.Name) {
		placer.found = append(placer.found, h)
	}
}

// limit returns the harm up to which the task may start. Services and urgent tasks have none.
func (placer *Placer) limit(task *scheduler.PendingTask) float64 {
	if task.Urgent || task.Spec.Class == scheduler.ClassLatencyCritical || placer.harmLimit == 0 {
		return 1e9
	}
	return placer.harmLimit * (1 + float64(task.WaitTime)/float64(placer.patience))
}

// score returns the cost of the worker for the task, lower is better, and the largest harm that any
// service on the worker would then suffer.
func (placer *Placer) score(h *host, task *scheduler.PendingTask) (score, worst float64) {
	var added float64
	if task.Spec.Class == scheduler.ClassLatencyCritical {
		for _, kind := range h.kinds {
			added += placer.harm(task.Spec.Kind, kind.kind) * h.share(kind.value)
		}
		worst = added
	} else {
		added, worst = placer.harmOfBatch(h, &task.Spec)
	}
	score = added + loadWeight*h.share(h.busy) + spreadWeight*float64(placer.crowding(h, task))
	if task.Spec.Request.Accelerators == 0 && h.free.accelerators > 0 {
		score += acceleratorWeight
	}
	return score, worst
}

func (placer *Placer) harmOfBatch(h *host, spec *scheduler.TaskSpec) (added, worst float64) {
	for _, service := range h.services {
		own := placer.harm(service.kind, spec.Kind) * h.share(spec.Request.MilliCores)
		added += own * float64(service.value)
		if own < 0.01 {
			// A task that adds nearly nothing is not refused for what its neighbours do.
			continue
		}
		for _, kind := range h.kinds {
			own += placer.harm(service.kind, kind.kind) * h.share(kind.value)
		}
		worst = max(worst, own)
	}
	return added, worst
}

// share returns an amount of processor time as a share of the worker.
func (h *host) share(milliCores int64) float64 {
	return float64(milliCores) / float64(max(1, h.capacity.cores))
}

// harm returns the cautious estimate for a service and a batch kind at the service's present load.
func (placer *Placer) harm(service, kind string) float64 {
	if placer.estimator == nil {
		return 0
	}
	key := [2]string{service, kind}
	if harm, ok := placer.harms[key]; ok {
		return harm
	}
	estimate := placer.estimator.Interference(scheduler.Colocation{
		Service: service, Kind: kind, Load: placer.estimator.Load(service),
	})
	harm := max(0, estimate.Interference+deviationWeight*estimate.Deviation)
	placer.harms[key] = harm
	return harm
}

// Levels of TaskSpec.Spread.
const (
	spreadRack   = "rack"
	spreadWorker = "worker"
)

// spread counts a job's tasks by rack or worker. Only jobs that ask for it have one.
type spread struct {
	counts map[string]int
}

func place(h *host, level string) string {
	if level == spreadRack {
		return h.worker.Rack
	}
	return string(h.worker.Name)
}

func (placer *Placer) spread(h *host, task *scheduler.PlacedTask) {
	if task.Spec.Spread != spreadRack && task.Spec.Spread != spreadWorker {
		return
	}
	s := placer.spreads[task.Job]
	if s == nil {
		s = &spread{counts: map[string]int{}}
		placer.spreads[task.Job] = s
	}
	s.counts[place(h, task.Spec.Spread)]++
}

func (placer *Placer) unspread(h *host, task *scheduler.PlacedTask) {
	s := placer.spreads[task.Job]
	if s == nil || task.Spec.Spread != spreadRack && task.Spec.Spread != spreadWorker {
		return
	}
	name := place(h, task.Spec.Spread)
	if s.counts[name]--; s.counts[name] <= 0 {
		delete(s.counts, name)
	}
	if len(s.counts) == 0 {
		delete(placer.spreads, task.Job)
	}
}

// crowding returns how many tasks of the same job share the rack or worker.
func (placer *Placer) crowding(h *host, task *scheduler.PendingTask) int {
	if s := placer.spreads[task.Job]; s != nil {
		return s.counts[place(h, task.Spec.Spread)]
	}
	return 0
}
