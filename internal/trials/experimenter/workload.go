package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Streams of random numbers; each purpose has its own, so that policies see the same work.
const (
	streamTruth uint64 = iota + 1
	streamWork
	streamLoad
	streamRun
)

// teamCount is the number of teams; team 0 sends the flood.
const teamCount = 72

func teamName(n int) scheduler.TeamName { return scheduler.TeamName(fmt.Sprintf("team%d", n)) }

// checkpointInterval is how often a task that can checkpoint does so by itself.
const checkpointInterval = time.Minute

// job is a set of equal batch tasks, or the tasks of a service.
type job struct {
	id      scheduler.JobID
	team    scheduler.TeamName
	at      time.Duration
	class   scheduler.Class
	kind    int
	tasks   int
	request scheduler.Resources
	// cores is the true use at full speed, runTime the true run time at full speed.
	cores       float64
	runTime     time.Duration
	declared    time.Duration
	checkpoints bool
	urgent      bool
	// failsAlways marks a job whose tasks fail on every worker.
	failsAlways bool
	date        time.Duration
	cancelled   time.Duration
	// ended is when the last task completed, zero before.
	ended time.Duration
}

// kindProfile is what the tasks of a kind have in common.
type kindProfile struct {
	cores       float64
	runTime     time.Duration
	checkpoints bool
}

// work generates everything that is submitted in a run.
func work(seed uint64, d deployment, s scenario, t *truth) []job {
	random := rand.New(rand.NewPCG(seed, streamWork))
	jobs := serviceJobs(random, d, s)
	var profiles [kindCount]kindProfile
	for k := range profiles {
		profiles[k] = kindProfile{
			cores:       float64(d.cores) / 32 * (1 + 4*random.Float64()),
			runTime:     time.Duration((2 + 8*random.Float64()) * float64(time.Minute)),
			checkpoints: k%4 != 3,
		}
	}
	harsh := harshest(t)
	// The rate is such that the arriving core-seconds per second are the offered share of the
	// processors that are not declared by services.
	cores := float64(d.workers*d.cores) * 0.75 * s.offered
	number := 0
	for k := range profiles {
		p := profiles[k]
		perJob := 8.0 * p.cores * p.runTime.Seconds()
		rate := cores / kindCount / perJob
		for at := time.Duration(0); ; number++ {
			factor := 1.0
			if s.waves && at%waveEvery < waveLength && (k == harsh[0] || k == harsh[1]) {
				factor = waveFactor
			}
			// Times are redrawn in steps of at most one minute, so that a wave takes effect.
			gap := random.ExpFloat64() / (rate * factor)
			if gap > 60 {
				at += time.Minute
				if at >= horizon {
					break
				}
				continue
			}
			at += time.Duration(gap * float64(time.Second))
			if at >= horizon {
				break
			}
			jobs = append(jobs, batchJob(random, number, k, at, p, d, s))
		}
	}
	if s.flood {
		// One team submits three hours of work for the whole fleet at once.
		flood := cores * 3 * time.Hour.Seconds()
		for k := 0; flood > 0; k = (k + 1) % kindCount {
			j := batchJob(random, number, k, floodAt, profiles[k], d, s)
			j.team, number = "team0", number+1
			flood -= float64(j.tasks) * j.cores * j.runTime.Seconds()
			jobs = append(jobs, j)
		}
	}
	return jobs
}

func harshest(t *truth) [2]int {
	first, second := 0, 1
	for k := range kindCount {
		switch {
		case t.harshness(k) > t.harshness(first):
			first, second = k, first
		case k != first && t.harshness(k) > t.harshness(second):
			second = k
		}
	}
	return [2]int{first, second}
}

func batchJob(random *rand.Rand, n, kind int, at time.Duration, p kindProfile, d deployment, s scenario) job {
	runTime := time.Duration(float64(p.runTime) * math.Exp(0.4*random.NormFloat64()-0.08))
	declaredCores := min(p.cores*off(random, s), float64(d.cores)/2)
	j := job{
		id: scheduler.JobID(fmt.Sprintf("job%d", n)), team: teamName(n % teamCount),
		at: at, class: scheduler.ClassBatch, kind: kind, tasks: 1 + random.IntN(15),
		cores: p.cores, runTime: runTime, checkpoints: p.checkpoints,
		declared: time.Duration(float64(runTime) * off(random, s)),
		request: scheduler.Resources{
			MilliCores: max(100, int64(1000*declaredCores)), MemoryBytes: int64(2*p.cores*1024) << 20,
		},
		date: at + 2*runTime + 15*time.Minute,
	}
	j.failsAlways = s.failing && random.Float64() < 0.05
	if cancel := random.Float64(); s.cancels {
		for _, burst := range []time.Duration{40 * time.Minute, 70 * time.Minute} {
			if at < burst && at > burst-15*time.Minute && cancel < 0.6 {
				j.cancelled = burst
			}
		}
	}
	return j
}

// off returns the factor by which a declaration is off; its logarithm is uniform.
func off(random *rand.Rand, s scenario) float64 {
	low, high := math.Log(s.declaredLow), math.Log(s.declaredHigh)
	return math.Exp(low + (high-low)*random.Float64())
}

// serviceJobs returns the services: two tasks per worker, which declare a quarter of all processors.
func serviceJobs(random *rand.Rand, d deployment, s scenario) []job {
	var jobs []job
	for i := range serviceCount {
		tasks := 2 * d.workers / serviceCount
		j := job{
			id: scheduler.JobID(serviceName(i)), team: "services", class: scheduler.ClassLatencyCritical, kind: i, tasks: tasks,
			cores: float64(d.cores) / 8 * (0.6 + 0.4*random.Float64()), runTime: 10 * horizon, declared: 10 * horizon,
			request: scheduler.Resources{MilliCores: int64(d.cores) * 125, MemoryBytes: 8 << 30},
		}
		for at := time.Duration(0); at < rollout; at += rollout / 10 {
			part := j
			part.id = scheduler.JobID(fmt.Sprintf("%s-%d", j.id, at/time.Minute))
			part.at, part.tasks = at, (tasks+9)/10
			if left := tasks - int(at/(rollout/10))*part.tasks; left < part.tasks {
				part.tasks = max(0, left)
			}
			if part.tasks > 0 {
				jobs = append(jobs, part)
			}
		}
		if s.shift && i < 2 {
			j.id, j.at, j.tasks, j.urgent = j.id+"-more", shiftFrom, tasks/4, true
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// loads gives the load of each service at a time, before instances that are missing add to it.
type loads struct {
	phase, mean, swing [serviceCount]float64
	shift              bool
}

func newLoads(seed uint64, s scenario) *loads {
	random := rand.New(rand.NewPCG(seed, streamLoad))
	l := &loads{shift: s.shift}
	for i := range serviceCount {
		l.phase[i] = 2 * math.Pi * random.Float64()
		l.mean[i] = 0.35 + 0.2*random.Float64()
		l.swing[i] = 0.05 + 0.15*random.Float64()
	}
	return l
}

func (l *loads) at(service int, at time.Duration) float64 {
	load := l.mean[service] + l.swing[service]*math.Sin(l.phase[service]+2*math.Pi*at.Hours())
	if l.shift && at >= shiftFrom && at < shiftUntil {
		switch service {
		case 0, 1:
			load = 0.85
		case 2:
			load = 0.1
		}
	}
	return load
}
