package crashclassifier

import (
	"math"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Evidence is how much likelier the crashes under a task are if it causes them than if it does not: the natural logarithm of that
// ratio, in thousandths. The evidence of independent crashes adds up. By Wald's inequality, the evidence of an innocent task
// exceeds E with a probability of at most exp(-E/1000).
type Evidence int

const (
	// Suspicion is the evidence with which a task starts apart from others: one of twenty such tasks crashes its workers.
	Suspicion Evidence = 3_000
	// Isolation is the evidence with which a suspect shares its worker with no other suspect.
	Isolation Evidence = 6_000
	// Conviction is the evidence with which a task is given up: with ten tasks, exp(-16.5) for each is less than one innocent job in a
	// million.
	Conviction Evidence = 16_500
	// priorEvidence is that of a task before any crash: one of 400 crashes its worker. It makes the first crash, which several
	// tasks share, weak evidence against each.
	priorEvidence Evidence = -6_000

	// A task that crashes its worker does so at an age between minCrashAge and SurvivalTime, whose logarithm is distributed evenly:
	// most faults show at once, others after a while.
	minCrashAge = 50 * time.Millisecond
	// sameAgeChance is the probability that a task crashes its workers always at the same age, within ageTolerance of it.
	sameAgeChance = 0.5
	ageTolerance  = 0.1
	// unansweredChance is the probability that a start order without an answer has reached its worker.
	unansweredChance = 0.5
	// minAdoptedAge is the least age of an attempt that an earlier leader may have started at an unknown time.
	minAdoptedAge = time.Second
	// commonCauseRate is added to the crashes by chance in a second when much of a rack or pool crashes at once.
	commonCauseRate = 0.1
)

// Probability returns the probability that a task with the evidence crashes its worker.
func (evidence Evidence) Probability() float64 {
	return 1 / (1 + math.Exp(-float64(evidence+priorEvidence)/1000))
}

// ageSpan is the range of the logarithm of the age.
var ageSpan = math.Log(SurvivalTime.Seconds() / minCrashAge.Seconds())

// crashDensity returns the probability that a task that crashes its worker does so within a second, at the given age.
func crashDensity(age time.Duration) float64 {
	return 1 / (max(age, minCrashAge).Seconds() * ageSpan)
}

// crashesLater returns the probability that a task that crashes its worker has not done so until the given age.
func crashesLater(age time.Duration) float64 {
	age = min(max(age, minCrashAge), SurvivalTime)
	return math.Log(SurvivalTime.Seconds()/age.Seconds()) / ageSpan
}

// weigh returns the evidence of a crash against each attempt on the worker. If the attempt is innocent, the crash happened by
// chance, at the rate at which workers of the pool crash anyway, or because of another attempt beside it. Tasks of the same job
// are no such others, since they are given up together. An attempt that had been running for long is rather exonerated.
func (decision *Decision) weigh(ending *Ending) {
	decision.evidence = map[scheduler.RunID]Evidence{}
	byChance := ending.Rate
	if decision.verdict != VerdictCrash {
		byChance += commonCauseRate
	}
	for position := range ending.Attempts {
		attempt := &ending.Attempts[position]
		if _, blamed := decision.kinds[attempt.Run]; !blamed || attempt.isMarkedByEarlierLeader() {
			continue
		}
		ratio := attempt.density(ending.At)/(byChance+ending.othersDensity(attempt)) + crashesLater(attempt.age(ending.At))
		decision.evidence[attempt.Run] = Evidence(1000 * math.Log(ratio))
	}
}

// othersDensity returns how many crashes the other attempts on the worker cause in a second.
func (ending *Ending) othersDensity(attempt *Attempt) float64 {
	density := 0.0
	for position := range ending.Attempts {
		other := &ending.Attempts[position]
		if other.Run.Task.Job == attempt.Run.Task.Job || other.hasSurvived(ending.At) || !other.mayHaveStarted() {
			continue
		}
		density += other.Evidence.Probability() * other.density(ending.At)
	}
	return density
}

// density returns the probability that the attempt, if its task crashes workers, does so within the second of the crash. Half of
// such tasks do it at the same age again.
func (attempt *Attempt) density(at time.Duration) float64 {
	age := attempt.age(at)
	density := crashDensity(age)
	if former := attempt.CrashedAfter; former > 0 {
		tolerance := max(time.Duration(ageTolerance*float64(former)), minCrashAge)
		density *= 1 - sameAgeChance
		if (age - former).Abs() <= tolerance {
			density += sameAgeChance / (2 * tolerance.Seconds())
		}
	}
	if !attempt.Accepted && !attempt.Adopted {
		density *= unansweredChance
	}
	return density
}

// age returns for how long the attempt was running when its worker crashed.
func (attempt *Attempt) age(at time.Duration) time.Duration {
	switch {
	case attempt.Adopted:
		return max(at-attempt.Since, minAdoptedAge)
	case !attempt.Accepted:
		return 0
	}
	return at - attempt.Since
}
