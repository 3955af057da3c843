package sizer

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

const (
	root = "../../.."
	// page documents the measured capacity and the commands that reproduce the figures.
	page = root + "/docs/CAPACITY.md"
)

var commandPattern = regexp.MustCompile("`((?:go test|crocusplank) [^`]+)`")

// Fails if the capacity page names a command, a flag, a session or a test that does not exist, because its figures could
// then not be reproduced.
func TestCommandsOfThePage(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[string]int{}
	for _, match := range commandPattern.FindAllStringSubmatch(string(text), -1) {
		words := strings.Fields(match[1])
		kinds[words[0]]++
		if words[0] == "go" {
			checkGoTest(t, words[2:])
		} else {
			checkCapacity(t, words[1:])
		}
	}
	if kinds["go"] == 0 || kinds["crocusplank"] == 0 {
		t.Errorf("commands on the page: got %v, want some of go test and some of crocusplank", kinds)
	}
}

// checkGoTest checks that the package has test files and that the patterns of -run and -bench match a function in them.
func checkGoTest(t *testing.T, words []string) {
	t.Helper()
	folder := words[len(words)-1]
	files, _ := filepath.Glob(filepath.Join(root, folder, "*_test.go"))
	if len(files) == 0 {
		t.Errorf("go test %v: no test files in %s", words, folder)
		return
	}
	var sources strings.Builder
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		sources.Write(source)
	}
	for flag, prefix := range map[string]string{"-run": "Test", "-bench": "Benchmark"} {
		index := slices.Index(words, flag)
		if index < 0 || words[index+1] == "xxx" || words[index+1] == "." {
			continue
		}
		wanted := strings.TrimPrefix(words[index+1], prefix)
		if !regexp.MustCompile(`func ` + prefix + `\w*` + wanted).MatchString(sources.String()) {
			t.Errorf("go test %v: no function matches %s", words, words[index+1])
		}
	}
}

// checkCapacity checks the subcommand, flags, arguments and session names of an "experiment capacity" command line.
func checkCapacity(t *testing.T, words []string) {
	t.Helper()
	if len(words) < 2 || words[0] != "experiment" || words[1] != "capacity" {
		t.Errorf("crocusplank %v: not a command of this package", words)
		return
	}
	command, rest, err := Command().Find(words[2:])
	if err != nil {
		t.Errorf("crocusplank %v: %v", words, err)
		return
	}
	if err := command.ParseFlags(rest); err != nil {
		t.Errorf("crocusplank %v: %v", words, err)
		return
	}
	if err := command.ValidateArgs(command.Flags().Args()); err != nil {
		t.Errorf("crocusplank %v: %v", words, err)
	}
	checkSessions(t, command)
}

func checkSessions(t *testing.T, command *cobra.Command) {
	t.Helper()
	if command.Flags().Lookup("session") == nil {
		return
	}
	names, err := command.Flags().GetStringSlice("session")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if !slices.ContainsFunc(sessions, func(session Session) bool { return session.Name == name }) {
			t.Errorf("session %q does not exist", name)
		}
	}
}
