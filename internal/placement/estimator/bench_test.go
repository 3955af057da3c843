package estimator

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkObserve measures the observation of a report with one service and about 12 batch kinds by a model whose
// coefficients are all in use. It also reports the heap size of an estimator with 40 services.
func BenchmarkObserve(b *testing.B) {
	interferences := map[string]float64{}
	for i := range maxBatchKinds {
		interferences[fmt.Sprint("kind", i)] = 1
	}
	list := reports(1, 2000, interferences, 0.5, 0.1)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	e := New()
	for i := range list {
		for j := range list[i].Tasks {
			if list[i].Tasks[j].Latency > 0 {
				list[i].Tasks[j].Kind = fmt.Sprint("service", i%40)
			}
		}
		if err := e.Observe(list[i], 32000); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	i := 0
	for b.Loop() {
		report := list[i%len(list)]
		report.Until = report.Until.AddDate(1+i/len(list), 0, 0)
		if err := e.Observe(report, 32000); err != nil {
			b.Fatal(err)
		}
		i++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
	runtime.KeepAlive(list)
}
