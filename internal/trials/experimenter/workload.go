package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Streams of random numbers. Each purpose has its own, so that the generated jobs are the same for all policies.
const (
	streamInterference uint64 = iota + 1
	streamWorkload
	streamLoad
	streamSimulation
)

// teamCount is the number of teams. In the flood scenario, team 0 submits the flood.
const teamCount = 72

func teamName(n int) scheduler.TeamName { return scheduler.TeamName(fmt.Sprintf("team%d", n)) }

// checkpointInterval is the interval of the periodic checkpoints of a running task that supports them.
const checkpointInterval = time.Minute

// job is a set of identical batch tasks, or of instances of a service.
type job struct {
	id          scheduler.JobID
	team        scheduler.TeamName
	submittedAt time.Duration
	class       scheduler.Class
	kind        int
	tasks       int
	request     scheduler.Resources
	// cores and runTime are the actual processor use and run time at full speed.
	cores           float64
	runTime         time.Duration
	declaredRunTime time.Duration
	checkpoints     bool
	urgent          bool
	// failsAlways marks a job whose tasks fail on every worker.
	failsAlways bool
	deadline    time.Duration
	cancelledAt time.Duration
	// endedAt is the time when the last task completed, or zero. Only the policy predicting sets it.
	endedAt time.Duration
}

// kindProfile holds the properties that all tasks of a kind share.
type kindProfile struct {
	cores       float64
	runTime     time.Duration
	checkpoints bool
}

// generateJobs generates all jobs of a run.
func generateJobs(seed uint64, d deployment, s scenario, table *interferenceTable) []job {
	random := rand.New(rand.NewPCG(seed, streamWorkload))
	jobs := serviceJobs(random, d, s)
	var profiles [kindCount]kindProfile
	for k := range profiles {
		profiles[k] = kindProfile{
			cores:       float64(d.cores) / 32 * (1 + 4*random.Float64()),
			runTime:     time.Duration((2 + 8*random.Float64()) * float64(time.Minute)),
			checkpoints: k%4 != 3,
		}
	}
	noisiest := mostInterfering(table)
	// The arrival rate is such that the arriving core-seconds per second are the offered fraction of the processors that
	// services do not declare.
	cores := float64(d.workers*d.cores) * 0.75 * s.offeredLoad
	number := 0
	for k := range profiles {
		p := profiles[k]
		perJob := 8.0 * p.cores * p.runTime.Seconds()
		rate := cores / kindCount / perJob
		for at := time.Duration(0); ; number++ {
			factor := 1.0
			if s.waves && at%waveInterval < waveLength && (k == noisiest[0] || k == noisiest[1]) {
				factor = waveFactor
			}
			// A gap of more than one minute is redrawn a minute later, so that a wave that starts in between takes effect.
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
		// One team submits three hours of batch work for the whole cluster at once.
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

func mostInterfering(table *interferenceTable) [2]int {
	first, second := 0, 1
	for k := range kindCount {
		switch {
		case table.meanCoefficient(k) > table.meanCoefficient(first):
			first, second = k, first
		case k != first && table.meanCoefficient(k) > table.meanCoefficient(second):
			second = k
		}
	}
	return [2]int{first, second}
}

func batchJob(random *rand.Rand, n, kind int, at time.Duration, p kindProfile, d deployment, s scenario) job {
	runTime := time.Duration(float64(p.runTime) * math.Exp(0.4*random.NormFloat64()-0.08))
	declaredCores := min(p.cores*declarationError(random, s), float64(d.cores)/2)
	j := job{
		id: scheduler.JobID(fmt.Sprintf("job%d", n)), team: teamName(n % teamCount),
		submittedAt: at, class: scheduler.ClassBatch, kind: kind, tasks: 1 + random.IntN(15),
		cores: p.cores, runTime: runTime, checkpoints: p.checkpoints,
		declaredRunTime: time.Duration(float64(runTime) * declarationError(random, s)),
		request: scheduler.Resources{
			MilliCores: max(100, int64(1000*declaredCores)), MemoryBytes: int64(2*p.cores*1024) << 20,
		},
		deadline: at + 2*runTime + 15*time.Minute,
	}
	j.failsAlways = s.failing && random.Float64() < 0.05
	if cancel := random.Float64(); s.cancels {
		for _, burst := range []time.Duration{40 * time.Minute, 70 * time.Minute} {
			if at < burst && at > burst-15*time.Minute && cancel < 0.6 {
				j.cancelledAt = burst
			}
		}
	}
	return j
}

// declarationError returns the ratio of a declared to the actual value. It is log-uniform.
func declarationError(random *rand.Rand, s scenario) float64 {
	low, high := math.Log(s.declaredLow), math.Log(s.declaredHigh)
	return math.Exp(low + (high-low)*random.Float64())
}

// serviceJobs returns the jobs of the services: two tasks per worker, which together declare a quarter of all
// processors.
func serviceJobs(random *rand.Rand, d deployment, s scenario) []job {
	var jobs []job
	for i := range serviceCount {
		tasks := 2 * d.workers / serviceCount
		j := job{
			id: scheduler.JobID(serviceName(i)), team: "services", class: scheduler.ClassLatencyCritical, kind: i, tasks: tasks,
			cores: float64(d.cores) / 8 * (0.6 + 0.4*random.Float64()), runTime: 10 * horizon, declaredRunTime: 10 * horizon,
			request: scheduler.Resources{MilliCores: int64(d.cores) * 125, MemoryBytes: 8 << 30},
		}
		for at := time.Duration(0); at < rolloutTime; at += rolloutTime / 10 {
			part := j
			part.id = scheduler.JobID(fmt.Sprintf("%s-%d", j.id, at/time.Minute))
			part.submittedAt, part.tasks = at, (tasks+9)/10
			if left := tasks - int(at/(rolloutTime/10))*part.tasks; left < part.tasks {
				part.tasks = max(0, left)
			}
			if part.tasks > 0 {
				jobs = append(jobs, part)
			}
		}
		if s.shift && i < 2 {
			j.id, j.submittedAt, j.tasks, j.urgent = j.id+"-more", shiftFrom, tasks/4, true
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// loadCurves holds the load of each service over time: a sine wave, except during a load shift. It does not include the
// effect of missing instances.
type loadCurves struct {
	phase, mean, amplitude [serviceCount]float64
	shift                  bool
}

func newLoadCurves(seed uint64, s scenario) *loadCurves {
	random := rand.New(rand.NewPCG(seed, streamLoad))
	l := &loadCurves{shift: s.shift}
	for i := range serviceCount {
		l.phase[i] = 2 * math.Pi * random.Float64()
		l.mean[i] = 0.35 + 0.2*random.Float64()
		l.amplitude[i] = 0.05 + 0.15*random.Float64()
	}
	return l
}

func (l *loadCurves) at(service int, at time.Duration) float64 {
	load := l.mean[service] + l.amplitude[service]*math.Sin(l.phase[service]+2*math.Pi*at.Hours())
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
