package stager

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// timeLimit is how long a case may take.
const timeLimit = 115 * time.Second

// cleanups ends the processes of all deployments when a case is interrupted.
var cleanups struct {
	mutex   sync.Mutex
	domains []*Domain
}

func closeOnInterrupt(domain *Domain) {
	cleanups.mutex.Lock()
	defer cleanups.mutex.Unlock()
	cleanups.domains = append(cleanups.domains, domain)
}

// awaitInterrupt ends the process if it is told to end or takes too long.
func awaitInterrupt() {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-interrupts:
	case <-time.After(timeLimit):
	}
	closeAll()
	fmt.Println("could not run: interrupted")
	os.Exit(exitNotRun)
}

func closeAll() {
	cleanups.mutex.Lock()
	defer cleanups.mutex.Unlock()
	for _, domain := range cleanups.domains {
		domain.Close()
	}
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Verdict is what a case has seen. An empty Broken means that the rule held.
type Verdict struct {
	Broken string
}

// Script is what a case does with a deployment that it can start. trouble is false if the disruption is left out.
type Script func(recorder *Recorder, program string, trouble bool) (Verdict, error)

// Main runs a case and ends the process with its exit code. The flags name the folder of the case and the program.
func Main(script Script) {
	folder := flag.String("folder", ".", "folder of the case, for record.txt")
	program := flag.String("program", "target/crocusplank-vm", "program of the deploy file")
	flag.Parse()
	go awaitInterrupt()
	recorder, err := NewRecorder(*folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(exitNotRun)
	}
	verdict, err := script(recorder, *program, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case err != nil:
		code = exitNotRun
		recorder.Write("the case could not run: %v", err)
		fmt.Println("could not run:", err)
	case verdict.Broken != "":
		code = exitBroken
		recorder.Write("BROKEN: %s", verdict.Broken)
		fmt.Println("broken:", verdict.Broken)
	default:
		recorder.Write("the rule held")
		fmt.Println("held")
	}
	_ = recorder.Close() // The verdict is known.
	os.Exit(code)
}
