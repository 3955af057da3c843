package sizer

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const mebibyte = 1 << 20

// PrintTable writes Markdown tables of the processes' resource usage, of the messages by kind, of the emulated platform's
// traffic and of the fits.
func PrintTable(w io.Writer, report Report) error {
	var text strings.Builder
	text.WriteString("| session | workers | endpoints | starts/s | running | load | part | % of a core | resident MiB | heap MiB | sent B/s | received B/s |\n")
	text.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, measurement := range report.Measurements {
		for _, process := range measurement.Processes {
			sent, received := totalBytes(process.Rates)
			fmt.Fprintf(&text, "| %s | %d | %d | %d | %d | %s | %s %s | %.2f | %.1f | %.1f | %.0f | %.0f |\n",
				measurement.Session, measurement.Workers,
				measurement.Endpoints, measurement.StartRate, measurement.Running, measurement.Load, process.Role, process.VM, process.CPUPercent,
				float64(process.ResidentBytes)/mebibyte, float64(process.HeapBytes)/mebibyte, sent, received)
		}
	}
	printKinds(&text, report)
	printPlatform(&text, report)
	printFits(&text, report)
	_, err := io.WriteString(w, text.String())
	return Error.Wrap(err)
}

func totalBytes(rates []Rate) (sent, received float64) {
	for _, rate := range rates {
		sent += rate.SentBytes
		received += rate.ReceivedBytes
	}
	return sent, received
}

// sumByKind adds up the rates of each message kind over all groups.
func sumByKind(rates []Rate) map[scheduler.MessageKind]Rate {
	sums := map[scheduler.MessageKind]Rate{}
	for _, rate := range rates {
		sum := sums[rate.Kind]
		sum.SentMessages += rate.SentMessages
		sum.SentBytes += rate.SentBytes
		sum.ReceivedMessages += rate.ReceivedMessages
		sum.ReceivedBytes += rate.ReceivedBytes
		sums[rate.Kind] = sum
	}
	return sums
}

func printKinds(text *strings.Builder, report Report) {
	text.WriteString("\n| workers | endpoints | starts/s | part | kind | sent/s | sent B/s | received/s | received B/s |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, measurement := range report.Measurements {
		for _, process := range measurement.Processes {
			if process.Role != "leader" && process.Role != "follower" {
				continue
			}
			sums := sumByKind(process.Rates)
			for _, kind := range sortedKinds(sums) {
				rate := sums[kind]
				fmt.Fprintf(text, "| %d | %d | %d | %s | %s | %.1f | %.0f | %.1f | %.0f |\n",
					measurement.Workers, measurement.Endpoints, measurement.StartRate,
					process.Role, kind, rate.SentMessages, rate.SentBytes, rate.ReceivedMessages, rate.ReceivedBytes)
			}
		}
	}
}

func sortedKinds(sums map[scheduler.MessageKind]Rate) []scheduler.MessageKind {
	var kinds []scheduler.MessageKind
	for kind, rate := range sums {
		if rate.SentMessages+rate.ReceivedMessages > 0 {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

func printPlatform(text *strings.Builder, report Report) {
	text.WriteString("\n| workers | endpoints | starts/s | exchanges/s | failed/s | B/s sent by a worker | B/s received by a worker | usage reports/s | usage B/s of a worker | ended/s | announcements/s | failed/s | B/s sent by an endpoint | B/s received by an endpoint |\n")
	text.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, measurement := range report.Measurements {
		counts, workers, endpoints := measurement.Platform, float64(measurement.Workers), float64(measurement.Endpoints)
		fmt.Fprintf(text, "| %d | %d | %d | %.0f | %.1f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | %.0f | %.0f |\n",
			measurement.Workers, measurement.Endpoints, measurement.StartRate,
			counts["exchangeMessages"], counts["exchangeFailed"], counts["exchangeSent"]/workers, counts["exchangeReceived"]/workers,
			counts["usageReports"], counts["usageBytes"]/workers, counts["ended"], counts["announcementMessages"], counts["announcementFailed"],
			counts["announcementSent"]/endpoints, counts["announcementReceived"]/endpoints)
	}
}
