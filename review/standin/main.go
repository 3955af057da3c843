// Command standin runs the script cases of the third review. It starts the project's programs as separate processes on
// loopback addresses, plays the clients, the runners and the operator, and judges what these have seen.
//
// It exits with 0 if the rule of the case held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime bounds a case with all that it starts.
const maxCaseTime = 115 * time.Second

// scenario plays a case. It returns what broke the rule, and an error if the case could not run.
type scenario func(ctx context.Context, world *world) (broken []string, err error)

var scenarios = map[string]scenario{
	"crashes": playCrashes,
	"pending": playPending,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	if len(arguments) != 2 || scenarios[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	defer cancel()
	record, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot write the record:", err)
		return exitNotRun
	}
	defer record.close()
	world, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.printf("not run: %v", err)
		return exitNotRun
	}
	defer world.close()
	broken, err := scenarios[arguments[0]](ctx, world)
	if err != nil {
		record.printf("not run: %v", err)
		return exitNotRun
	}
	for _, line := range broken {
		record.printf("BROKEN %s", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.printf("held")
	return exitHeld
}
