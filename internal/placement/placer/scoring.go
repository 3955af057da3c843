package placer

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// maxExhaustiveWorkers is the number of matching workers up to which all those with enough capacity are scored.
	maxExhaustiveWorkers = 128
	// sampleSize is the number of workers with enough capacity that are scored in larger inventories. The best of
	// 32 random workers is among the best 9% of all with a probability of 95%.
	sampleSize = 32
)

// Weights of the score. The unit of the score is the relative increase of a service's 99th percentile latency.
const (
	spreadWeight = 100.0
	// loadWeight is low, so that load decides only between workers with nearly equal interference.
	loadWeight = 0.05
	// acceleratorWeight keeps workers with free accelerators available for the tasks that request accelerators.
	acceleratorWeight = 0.5
	// deviationWeight makes uncertain estimates count as more interference.
	deviationWeight = 0.25
)

func (placer *Placer) placeTask(now time.Time, task *scheduler.PendingTask) (scheduler.Assignment, bool) {
	var best *host
	var bestScore float64
	for _, h := range placer.candidates(task, false) {
		score, interference := placer.score(h, task)
		if interference > placer.interferenceLimitFor(task) {
			continue
		}
		if best == nil || score < bestScore {
			best, bestScore = h, score
		}
	}
	if best != nil {
		placer.reserve(best, now, task)
		return scheduler.Assignment{Task: task.Task, Worker: best.worker.Name}, true
	}
	if task.Urgent {
		return placer.placeWithEviction(now, task)
	}
	return scheduler.Assignment{}, false
}

// candidates returns the workers to score. In a small inventory these are all workers with enough capacity. In a larger
// one they are a random sample, or all workers with enough capacity if the task avoids every sampled one. The result
// is valid until the next call.
func (placer *Placer) candidates(task *scheduler.PendingTask, evict bool) []*host {
	placer.candidateBuffer = placer.candidateBuffer[:0]
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
		if total <= placer.exhaustiveLimit {
			placer.collectAll(p, task, evict)
		} else {
			placer.collectSample(p, task, evict, 1+sampleSize*p.count/total)
		}
	}
	if len(placer.candidateBuffer) > 0 || total <= placer.exhaustiveLimit || len(task.AvoidWorkers) == 0 {
		return placer.candidateBuffer
	}
	for _, p := range placer.poolOrder {
		if p.matches(&task.Spec) {
			placer.collectAll(p, task, evict)
		}
	}
	return placer.candidateBuffer
}

func (placer *Placer) collectAll(p *pool, task *scheduler.PendingTask, evict bool) {
	request := amountOf(task.Spec.Request)
	for slot := p.capacityTree.next(0, request, evict); slot >= 0; slot = p.capacityTree.next(slot+1, request, evict) {
		placer.addCandidate(p.hosts[slot], task)
	}
}

func (placer *Placer) collectSample(p *pool, task *scheduler.PendingTask, evict bool, count int) {
	request := amountOf(task.Spec.Request)
	for range count {
		slot := p.capacityTree.next(placer.random.IntN(len(p.hosts)), request, evict)
		if slot < 0 {
			slot = p.capacityTree.next(0, request, evict)
		}
		if slot < 0 {
			return
		}
		if h := p.hosts[slot]; !slices.Contains(placer.candidateBuffer, h) {
			placer.addCandidate(h, task)
		}
	}
}

func (placer *Placer) addCandidate(h *host, task *scheduler.PendingTask) {
	if !slices.Contains(task.AvoidWorkers, h.worker.Name) {
		placer.candidateBuffer = append(placer.candidateBuffer, h)
	}
}

// interferenceLimitFor returns the interference up to which the task may start. It is unlimited for services and urgent
// tasks.
func (placer *Placer) interferenceLimitFor(task *scheduler.PendingTask) float64 {
	if task.Urgent || task.Spec.Class == scheduler.ClassLatencyCritical || placer.interferenceLimit == 0 {
		return 1e9
	}
	return placer.interferenceLimit * (1 + float64(task.WaitTime)/float64(placer.limitDoublingTime))
}

// score returns the cost of placing the task on the worker, where lower is better, and the highest interference that
// any service on the worker would then have.
func (placer *Placer) score(h *host, task *scheduler.PendingTask) (score, worst float64) {
	var added float64
	if task.Spec.Class == scheduler.ClassLatencyCritical {
		for _, kind := range h.batchKinds {
			added += placer.interference(task.Spec.Kind, kind.kind) * h.cpuFraction(kind.value)
		}
		worst = added
	} else {
		added, worst = placer.batchInterference(h, &task.Spec)
	}
	score = added + loadWeight*h.cpuFraction(h.allocatedCores) + spreadWeight*float64(placer.domainTaskCount(h, task))
	if task.Spec.Request.Accelerators == 0 && h.free.accelerators > 0 {
		score += acceleratorWeight
	}
	return score, worst
}

func (placer *Placer) batchInterference(h *host, spec *scheduler.TaskSpec) (added, worst float64) {
	for _, service := range h.services {
		own := placer.interference(service.kind, spec.Kind) * h.cpuFraction(spec.Request.MilliCores)
		added += own * float64(service.value)
		if own < 0.01 {
			// A task that adds almost no interference is not rejected because of that of its neighbours.
			continue
		}
		for _, kind := range h.batchKinds {
			own += placer.interference(service.kind, kind.kind) * h.cpuFraction(kind.value)
		}
		worst = max(worst, own)
	}
	return added, worst
}

// cpuFraction returns an amount of CPU time as a fraction of the worker's capacity.
func (h *host) cpuFraction(milliCores int64) float64 {
	return float64(milliCores) / float64(max(1, h.capacity.cores))
}

// interference returns a conservative estimate for a service and a batch kind at the current load of the service.
func (placer *Placer) interference(service, kind string) float64 {
	if placer.estimator == nil {
		return 0
	}
	key := [2]string{service, kind}
	if interference, ok := placer.interferences[key]; ok {
		return interference
	}
	estimate := placer.estimator.Interference(scheduler.Colocation{
		Service: service, Kind: kind, Load: placer.estimator.Load(service),
	})
	interference := max(0, estimate.Interference+deviationWeight*estimate.Deviation)
	placer.interferences[key] = interference
	return interference
}

// Values of TaskSpec.Spread.
const (
	spreadRack   = "rack"
	spreadWorker = "worker"
)

// spreadCount counts the tasks of a job by rack or worker. Only jobs with a spread level have one.
type spreadCount struct {
	counts map[string]int
}

// topologyDomain returns the rack or the worker name, depending on the spread level.
func topologyDomain(h *host, level string) string {
	if level == spreadRack {
		return h.worker.Rack
	}
	return string(h.worker.Name)
}

func (placer *Placer) addToSpread(h *host, task *scheduler.PlacedTask) {
	if task.Spec.Spread != spreadRack && task.Spec.Spread != spreadWorker {
		return
	}
	s := placer.spreadCounts[task.Job]
	if s == nil {
		s = &spreadCount{counts: map[string]int{}}
		placer.spreadCounts[task.Job] = s
	}
	s.counts[topologyDomain(h, task.Spec.Spread)]++
}

func (placer *Placer) removeFromSpread(h *host, task *scheduler.PlacedTask) {
	s := placer.spreadCounts[task.Job]
	if s == nil || task.Spec.Spread != spreadRack && task.Spec.Spread != spreadWorker {
		return
	}
	domain := topologyDomain(h, task.Spec.Spread)
	if s.counts[domain]--; s.counts[domain] <= 0 {
		delete(s.counts, domain)
	}
	if len(s.counts) == 0 {
		delete(placer.spreadCounts, task.Job)
	}
}

// domainTaskCount returns the number of tasks of the same job on the same rack or worker.
func (placer *Placer) domainTaskCount(h *host, task *scheduler.PendingTask) int {
	if s := placer.spreadCounts[task.Job]; s != nil {
		return s.counts[topologyDomain(h, task.Spec.Spread)]
	}
	return 0
}
