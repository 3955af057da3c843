package isolator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// instance is one incarnation of an endpoint.
type instance struct {
	endpoint    scheduler.EndpointName
	incarnation scheduler.Incarnation
}

// crash is a possible crash of an endpoint. It begins with the first connection that the endpoint refused, or closed
// without an answer.
type crash struct {
	at        time.Time
	confirmed bool
	// refused is true once the endpoint has refused a connection, broken once it has closed one without an answer.
	refused, broken bool
	// runs are the attempts that were running at the endpoint and have not been answered, until it is confirmed.
	runs map[*Run]struct{}
}

// Run is an attempt of a request at an endpoint. One of Answered, Abandoned and Broken is called at its end.
type Run struct {
	isolator *Isolator
	instance instance
	identify func() Fingerprint
	started  time.Time
	suspect  bool
	// crash is the possible crash that ended the run; blamed is true if the run was blamed for it.
	crash  *crash
	blamed bool
}

// fresh reports whether the run began less than freshTime before a time.
func (run *Run) fresh(now time.Time) bool { return now.Sub(run.started) < freshTime }

// Start records an attempt that is about to be sent.
func (isolator *Isolator) Start(endpoint scheduler.Announcement, identify func() Fingerprint, suspect bool) *Run {
	isolator.mutex.Lock()
	defer isolator.mutex.Unlock()
	run := &Run{
		isolator: isolator, instance: instance{endpoint.Endpoint, endpoint.Incarnation}, identify: identify,
		started: time.Now(), suspect: suspect,
	}
	if isolator.running[endpoint.Endpoint] == nil {
		isolator.running[endpoint.Endpoint] = map[*Run]struct{}{}
	}
	isolator.running[endpoint.Endpoint][run] = struct{}{}
	if suspect {
		isolator.runningSuspects++
	}
	return run
}

// Answered ends the run with a complete answer, after which requests like this one are no longer suspect.
func (run *Run) Answered() {
	run.isolator.mutex.Lock()
	defer run.isolator.mutex.Unlock()
	run.end()
	run.isolator.clear(run.identify)
}

// Abandoned ends the run without an answer and without evidence of a crash, for example at its deadline.
func (run *Run) Abandoned() {
	run.isolator.mutex.Lock()
	defer run.isolator.mutex.Unlock()
	run.end()
}

// Broken ends the run because the endpoint closed the connection without an answer. refused is true if the endpoint
// refuses new connections, which confirms a crash at once.
func (run *Run) Broken(refused bool) {
	isolator := run.isolator
	isolator.mutex.Lock()
	defer isolator.mutex.Unlock()
	now := time.Now()
	isolator.settle(now)
	if isolator.isLeaving(run.instance) {
		run.end()
		return
	}
	run.crash = isolator.possibleCrash(run.instance, now)
	run.remove()
	run.crash.refused, run.crash.broken = run.crash.refused || refused, true
	if run.crash.refused && !run.crash.confirmed {
		isolator.confirm(run.instance, run.crash)
	}
}

// Refused ends the run because the endpoint refuses connections. Requests go to other endpoints then. This alone is no
// crash, because an endpoint that stops may close its listener and finish what it runs.
func (run *Run) Refused() {
	isolator := run.isolator
	isolator.mutex.Lock()
	defer isolator.mutex.Unlock()
	run.end()
	current := isolator.possibleCrash(run.instance, time.Now())
	current.refused = true
}

// Crashed reports whether the endpoint crashed while it ran the request.
func (run *Run) Crashed() bool {
	run.isolator.mutex.Lock()
	defer run.isolator.mutex.Unlock()
	run.isolator.settle(time.Now())
	return run.crash != nil && run.crash.confirmed
}

// Blamed reports whether the run was blamed for a crash.
func (run *Run) Blamed() bool {
	run.isolator.mutex.Lock()
	defer run.isolator.mutex.Unlock()
	run.isolator.settle(time.Now())
	return run.blamed
}

// Settled reports whether it is known if the endpoint crashed.
func (run *Run) Settled() bool {
	run.isolator.mutex.Lock()
	defer run.isolator.mutex.Unlock()
	run.isolator.settle(time.Now())
	return run.crash == nil || run.crash.confirmed || run.isolator.crashes[run.instance] != run.crash
}

// remove removes the run from those in progress. It still counts as a possible cause of a crash that ended it.
func (run *Run) remove() {
	runs := run.isolator.running[run.instance.endpoint]
	if _, ok := runs[run]; ok && run.suspect {
		run.isolator.runningSuspects--
	}
	delete(runs, run)
	if len(runs) == 0 {
		delete(run.isolator.running, run.instance.endpoint)
	}
}

// end removes the run, also from the possible causes of a crash.
func (run *Run) end() {
	run.remove()
	if current := run.isolator.crashes[run.instance]; current != nil {
		delete(current.runs, run)
	}
}

// isLeaving reports whether an instance has announced that it will end.
func (isolator *Isolator) isLeaving(instance instance) bool {
	last, ok := isolator.lastAnnouncement(instance.endpoint)
	return ok && last.Incarnation == instance.incarnation && last.Leaving
}

// possibleCrash returns the possible crash of an instance, which it creates if there is none.
func (isolator *Isolator) possibleCrash(instance instance, now time.Time) *crash {
	if existing := isolator.crashes[instance]; existing != nil {
		return existing
	}
	created := &crash{at: now, runs: map[*Run]struct{}{}}
	for run := range isolator.running[instance.endpoint] {
		if run.instance == instance {
			created.runs[run] = struct{}{}
		}
	}
	isolator.crashes[instance] = created
	return created
}

// settle confirms the crashes of endpoints that have come back with a later incarnation. It forgets those of endpoints that
// still announce the same incarnation, and those older than confirmationTime.
func (isolator *Isolator) settle(now time.Time) {
	if now.Sub(isolator.lastSettle) < settleInterval {
		return
	}
	isolator.lastSettle = now
	for instance, crash := range isolator.crashes {
		last, ok := isolator.lastAnnouncement(instance.endpoint)
		same := ok && last.Incarnation == instance.incarnation
		switch {
		case now.Sub(crash.at) > confirmationTime,
			!crash.confirmed && same && (last.Leaving || last.Received.Sub(crash.at) > settleTime):
			delete(isolator.crashes, instance)
		case !crash.confirmed && crash.broken && ok && last.Incarnation > instance.incarnation:
			isolator.confirm(instance, crash)
		}
	}
}

// confirm blames requests for a crash.
func (isolator *Isolator) confirm(instance instance, crash *crash) {
	crash.confirmed = true
	isolator.counts.Crashes++
	blamed := crash.culprits()
	fingerprints := map[Fingerprint]struct{}{}
	for _, run := range blamed {
		run.blamed = true
		fingerprints[run.identify()] = struct{}{}
	}
	for fingerprint := range fingerprints {
		isolator.blame(fingerprint, crash.at)
	}
	isolator.log.Warn().Str("event", "endpointCrashed").Str("endpoint", string(instance.endpoint)).
		Int("requests", len(crash.runs)).Int("suspects", len(blamed)).
		Msg("endpoint crashed while it ran requests")
	crash.runs = nil
}

// culprits returns the runs that are blamed: a suspect that had just begun, else those that had just begun, else
// older suspects, else all.
func (crash *crash) culprits() []*Run {
	for _, matches := range []func(run *Run) bool{
		func(run *Run) bool { return run.suspect && run.fresh(crash.at) },
		func(run *Run) bool { return run.fresh(crash.at) },
		func(run *Run) bool { return run.suspect },
		func(*Run) bool { return true },
	} {
		var selected []*Run
		for run := range crash.runs {
			if matches(run) {
				selected = append(selected, run)
			}
		}
		if len(selected) > 0 {
			return selected
		}
	}
	return nil
}

// blame counts a crash against the requests with a fingerprint, and tells the other gateways.
func (isolator *Isolator) blame(fingerprint Fingerprint, at time.Time) {
	if fingerprint == (Fingerprint{}) {
		return
	}
	record := isolator.record(fingerprint, at)
	record.crashes++
	isolator.share(fingerprint, record.crashes)
}

// record returns the record of a fingerprint, which it creates or empties if there is none in force.
func (isolator *Isolator) record(fingerprint Fingerprint, now time.Time) *record {
	existing := isolator.records[fingerprint]
	if existing == nil {
		isolator.makeRoom(now)
		existing = &record{}
		isolator.records[fingerprint] = existing
	}
	if now.Sub(existing.last) > memoryTime {
		existing.crashes = 0
	}
	existing.last = now
	return existing
}

// makeRoom removes expired records, and the oldest one if there is still no room.
func (isolator *Isolator) makeRoom(now time.Time) {
	if len(isolator.records) < maxRecords {
		return
	}
	oldest, oldestTime := Fingerprint{}, now
	for fingerprint, record := range isolator.records {
		if now.Sub(record.last) > memoryTime {
			delete(isolator.records, fingerprint)
			continue
		}
		if record.last.Before(oldestTime) || oldest == (Fingerprint{}) {
			oldest, oldestTime = fingerprint, record.last
		}
	}
	if len(isolator.records) >= maxRecords {
		delete(isolator.records, oldest)
	}
}
