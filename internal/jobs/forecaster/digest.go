package forecaster

import (
	"slices"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// digestVersion is the version of the encoding.
const digestVersion = 1

// digest is the encoding of what a Forecaster has learned. The entries of each list are ordered from the least to the
// most recent one. It is a wire type.
type digest struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Kinds   []kindDigest
	Workers []workerDigest
}

// kindDigest is the history of a kind, or of a queue if WholeQueue is true.
type kindDigest struct {
	_          struct{} `cbor:",toarray"`
	Queue      scheduler.QueueName
	Image      string
	WholeQueue bool
	Ratios     []countDigest
	RunTimes   []countDigest
}

// countDigest is the count of a value in a distribution.
type countDigest struct {
	_     struct{} `cbor:",toarray"`
	Value int64
	Count int64
}

type workerDigest struct {
	_      struct{} `cbor:",toarray"`
	Worker scheduler.WorkerName
	Ratios []float32
}

// Encode returns what the Forecaster has learned, in at most maxBytes. Kinds come before workers, and what was updated
// least recently is left out first.
func (forecaster *Forecaster) Encode(maxBytes int) ([]byte, error) {
	result := digest{Version: digestVersion}
	remaining := maxBytes - digestOverhead
	var failure error
	fits := func(entry any) bool {
		data, err := encoder.Marshal(entry)
		if err != nil {
			failure = err
			return false
		}
		remaining -= len(data)
		return remaining >= 0
	}
	forecaster.histories.visit(func(key kindKey, history *history) bool {
		entry := newKindDigest(key, history)
		included := fits(entry)
		if included {
			result.Kinds = append(result.Kinds, entry)
		}
		return included
	})
	forecaster.fleet.workers.visit(func(worker scheduler.WorkerName, workerSpeed *workerSpeed) bool {
		entry := workerDigest{Worker: worker, Ratios: workerSpeed.oldestFirst()}
		included := fits(entry)
		if included {
			result.Workers = append(result.Workers, entry)
		}
		return included
	})
	if failure != nil {
		return nil, Error.Wrap(failure)
	}
	slices.Reverse(result.Kinds)
	slices.Reverse(result.Workers)
	data, err := encoder.Marshal(result)
	return data, Error.Wrap(err)
}

// digestOverhead is the size of a digest without its entries.
const digestOverhead = 16

func newKindDigest(key kindKey, history *history) kindDigest {
	return kindDigest{
		Queue: key.kind.Queue(), Image: key.kind.Image(), WholeQueue: key.wholeQueue,
		Ratios: history.ratios.counts(), RunTimes: history.runTimes.counts(),
	}
}

// counts returns the counts of a distribution, which may be nil.
func (distribution *distribution) counts() []countDigest {
	if distribution.weight() == 0 {
		return nil
	}
	var counts []countDigest
	var previous int32
	distribution.rebuild()
	for _, bracket := range distribution.brackets {
		counts = append(counts, countDigest{
			Value: int64(bracket.value), Count: int64(bracket.cumulative - previous),
		})
		previous = bracket.cumulative
	}
	return counts
}

// Restore replaces what the Forecaster has learned by an encoding of Encode. After an error, nothing has changed.
func (forecaster *Forecaster) Restore(data []byte) error {
	var decoded digest
	if err := encoder.Unmarshal(data, &decoded); err != nil {
		return Error.Wrap(err)
	}
	if decoded.Version != digestVersion {
		return Error.New("digest has version %d, want %d", decoded.Version, digestVersion)
	}
	restored := New(WithMaxKinds(forecaster.maxKinds))
	for _, entry := range decoded.Kinds {
		if err := restored.restoreKind(entry); err != nil {
			return err
		}
	}
	for _, entry := range decoded.Workers {
		if err := restored.restoreWorker(entry); err != nil {
			return err
		}
	}
	restored.fleet.updateMedian()
	forecaster.histories, forecaster.fleet = restored.histories, restored.fleet
	return nil
}

func (forecaster *Forecaster) restoreKind(entry kindDigest) error {
	key := kindKey{kind: scheduler.NewTaskKind(entry.Queue, entry.Image), wholeQueue: entry.WholeQueue}
	history := forecaster.historyOf(key)
	for _, count := range entry.Ratios {
		if err := history.ensureRatios().restore(count); err != nil {
			return err
		}
	}
	for _, count := range entry.RunTimes {
		if err := history.ensureRunTimes().restore(count); err != nil {
			return err
		}
	}
	return nil
}

func (distribution *distribution) restore(count countDigest) error {
	if count.Value < 1 || count.Count < 1 || count.Count > maxWeight || distribution.weight()+count.Count > maxWeight {
		return Error.New("digest has an invalid count of %d for value %d", count.Count, count.Value)
	}
	distribution.add(count.Value, count.Count)
	return nil
}

func (forecaster *Forecaster) restoreWorker(entry workerDigest) error {
	if len(entry.Ratios) > workerEnds {
		return Error.New("digest has %d ratios of worker %q, want at most %d", len(entry.Ratios), entry.Worker, workerEnds)
	}
	workerSpeed := forecaster.fleet.workers.touch(entry.Worker, func() *workerSpeed { return &workerSpeed{} })
	for _, ratio := range entry.Ratios {
		if !isValidRatio(ratio) {
			return Error.New("digest has an invalid ratio %v of worker %q", ratio, entry.Worker)
		}
		workerSpeed.add(float64(ratio))
	}
	return nil
}
