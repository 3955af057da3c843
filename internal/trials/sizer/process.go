package sizer

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/internal/operating/composer"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/state/messenger"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Sample holds the cumulative CPU time and traffic and the current memory of a VM's process. It is a wire type.
type Sample struct {
	At            time.Time           `json:"at"`
	CPUTime       time.Duration       `json:"processor"`
	ResidentBytes int64               `json:"resident"`
	HeapBytes     int64               `json:"heap"`
	Traffic       []messenger.Traffic `json:"traffic"`
}

// vmCommand returns the command that a VM's process runs. It writes a sample for each line on its standard input and
// exits at the end of the input, so that it does not outlive the measuring process.
func vmCommand() *cobra.Command {
	return &cobra.Command{
		Use: "vm FILE", Short: "Run one VM that reports its own costs", Args: cobra.ExactArgs(1), Hidden: true,
		RunE: func(command *cobra.Command, arguments []string) error {
			settings, err := loader.Load(arguments[0])
			if err != nil {
				return err
			}
			daemon, err := composer.New(settings, composer.NewLogger(settings, command.ErrOrStderr()))
			if err != nil {
				return err
			}
			if err := daemon.Start(context.Background()); err != nil {
				return err
			}
			return serveSamples(command.InOrStdin(), command.OutOrStdout(), daemon)
		},
	}
}

func serveSamples(in io.Reader, out io.Writer, daemon *composer.Daemon) error {
	lines := bufio.NewScanner(in)
	encoder := json.NewEncoder(out)
	for lines.Scan() {
		sample, err := takeSample()
		if err != nil {
			return err
		}
		sample.Traffic = daemon.Traffic()
		if err := encoder.Encode(sample); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(lines.Err())
}

// takeSample samples this process. It reads the CPU time before the garbage collection that the heap size needs. At the
// start of a phase it is called twice, so that this collection does not count in the phase.
func takeSample() (Sample, error) {
	sample := Sample{At: time.Now()}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return sample, Error.Wrap(err)
	}
	sample.CPUTime = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	statm, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return sample, Error.Wrap(err)
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return sample, Error.New("unexpected content of statm: %q", statm)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return sample, Error.Wrap(err)
	}
	sample.ResidentBytes = pages * int64(os.Getpagesize())
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	sample.HeapBytes = int64(memory.HeapAlloc) //nolint:gosec // A heap is smaller than 2^63 bytes.
	return sample, nil
}

// process is the child process that runs a VM.
type process struct {
	vm      loader.VM
	command *exec.Cmd
	stdin   io.WriteCloser
	decoder *json.Decoder
}

// startProcess starts this program's executable as the child process of a VM. Its standard error goes to a log file next
// to the settings file.
func startProcess(ctx context.Context, parent *cobra.Command, vm loader.VM, settingsFile string) (*process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	arguments := slices.Concat(strings.Fields(parent.CommandPath())[1:], []string{"vm", settingsFile})
	started := &process{vm: vm, command: exec.CommandContext(ctx, program, arguments...)} //nolint:gosec // It is this program.
	log, err := os.Create(filepath.Clean(settingsFile + ".log"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = log.Close() }()
	started.command.Stderr = log
	if started.stdin, err = started.command.StdinPipe(); err != nil {
		return nil, Error.Wrap(err)
	}
	out, err := started.command.StdoutPipe()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	started.decoder = json.NewDecoder(out)
	return started, Error.Wrap(started.command.Start())
}

func (process *process) sample() (Sample, error) {
	var sample Sample
	if _, err := io.WriteString(process.stdin, "sample\n"); err != nil {
		return sample, Error.Wrap(err)
	}
	return sample, Error.Wrap(process.decoder.Decode(&sample))
}

func (process *process) stop() {
	_ = process.stdin.Close()
	_ = process.command.Wait()
}

// Rate is the number of messages and bytes per second of one kind. It is a wire type.
type Rate struct {
	Group            scheduler.GroupName   `json:"group,omitempty"`
	Kind             scheduler.MessageKind `json:"kind"`
	SentMessages     float64               `json:"sentMessages"`
	SentBytes        float64               `json:"sentBytes"`
	ReceivedMessages float64               `json:"receivedMessages"`
	ReceivedBytes    float64               `json:"receivedBytes"`
}

// ratesBetween returns the traffic between two samples, per second. A kind that is absent from the first sample counts
// from zero.
func ratesBetween(first, last Sample) []Rate {
	type key struct {
		group scheduler.GroupName
		kind  scheduler.MessageKind
	}
	before := map[key]messenger.Traffic{}
	for _, traffic := range first.Traffic {
		before[key{traffic.Group, traffic.Kind}] = traffic
	}
	seconds := last.At.Sub(first.At).Seconds()
	var rates []Rate
	for _, after := range last.Traffic {
		earlier := before[key{after.Group, after.Kind}]
		rates = append(rates, Rate{
			Group: after.Group, Kind: after.Kind,
			SentMessages:     float64(after.SentMessages-earlier.SentMessages) / seconds,
			SentBytes:        float64(after.SentBytes-earlier.SentBytes) / seconds,
			ReceivedMessages: float64(after.ReceivedMessages-earlier.ReceivedMessages) / seconds,
			ReceivedBytes:    float64(after.ReceivedBytes-earlier.ReceivedBytes) / seconds,
		})
	}
	return rates
}
