package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scriptLimit is the time after which a script gives up.
const scriptLimit = 110 * time.Second

// Script is one run of a case.
type Script struct {
	*Deployment
	Recorder *Recorder
	Ledger   *Ledger
	// Trouble is false if the disruption is to be left out.
	Trouble bool
}

// Main runs a case and ends the process: with code 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// The arguments of the process are the program to test and the folder for record.txt. body returns how the rule was broken.
func Main(body func(script *Script) (breaks []string, err error)) {
	os.Exit(run(body))
}

func run(body func(script *Script) (breaks []string, err error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case PROGRAM FOLDER")
		return exitFailed
	}
	recorder, err := NewRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = recorder.Close() }()
	deployment, err := Start(os.Args[1], recorder)
	if deployment != nil {
		defer deployment.Close()
	}
	if err != nil {
		return failed(recorder, err)
	}
	type result struct {
		breaks []string
		err    error
	}
	done := make(chan result, 1)
	script := &Script{
		Deployment: deployment, Recorder: recorder, Ledger: NewLedger(recorder), Trouble: os.Getenv("TROUBLE") != "0",
	}
	go func() {
		breaks, err := body(script)
		done <- result{breaks: breaks, err: err}
	}()
	select {
	case result := <-done:
		if result.err != nil {
			return failed(recorder, result.err)
		}
		return report(recorder, result.breaks)
	case <-time.After(scriptLimit):
		return failed(recorder, fmt.Errorf("the script took too long"))
	}
}

func failed(recorder *Recorder, err error) int {
	recorder.Printf("the case could not run: %v", err)
	fmt.Println("could not run:", err)
	return exitFailed
}

// maxPrinted is the number of breaks that are printed.
const maxPrinted = 5

func report(recorder *Recorder, breaks []string) int {
	if len(breaks) == 0 {
		recorder.Printf("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	recorder.Printf("the rule was broken %d times", len(breaks))
	fmt.Println("the rule was broken", len(breaks), "times:")
	for position, text := range breaks {
		recorder.Printf("broken: %s", text)
		if position < maxPrinted {
			fmt.Println(" ", text)
		}
	}
	return exitBroken
}
