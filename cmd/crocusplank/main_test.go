package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/internal/operating/composer"
	"github.com/crocusplank/crocusplank/platform"
)

const commandsPage = "../../docs/operating/commands.md"

var update = flag.Bool("update", false, "rewrite docs/operating/commands.md")

// commandTrees returns the command trees of the programs. Each call builds new ones, because parsing stores values in
// their flags.
func commandTrees() map[string]*cobra.Command {
	trees := map[string]*cobra.Command{}
	for _, root := range []*cobra.Command{newCommander().Command(), composer.Command(), platform.Command(io.Discard)} {
		root.InitDefaultHelpCmd()
		root.InitDefaultCompletionCmd()
		trees[root.Name()] = root
	}
	return trees
}

func writeCommand(page *strings.Builder, command *cobra.Command) {
	command.InitDefaultHelpFlag()
	text := command.Long
	if text == "" {
		text = command.Short + "."
	}
	fmt.Fprintf(page, "\n## %s\n\n", command.CommandPath())
	if command.Runnable() {
		fmt.Fprintf(page, "    %s\n\n", command.UseLine())
	}
	fmt.Fprintf(page, "%s\n", strings.ReplaceAll(text, "\n  ", "\n    "))
	if usages := command.LocalFlags().FlagUsages(); command.LocalFlags().HasFlags() {
		fmt.Fprintf(page, "\n```text\n%s```\n", usages)
	}
	for _, child := range command.Commands() {
		if child.IsAvailableCommand() && child.Name() != "completion" {
			writeCommand(page, child)
		}
	}
}

// Guards against a commands page that differs from the commands and flags of the programs.
func TestCommandsPageIsUpToDate(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Commands\n\nThis page is generated from the programs: `go test ./cmd/crocusplank -update`.\n" +
		"`crocusplank completion bash`, and the same for zsh, fish and powershell, prints a script for shell completion.\n")
	for _, name := range []string{"crocusplank", "crocusplankd", "crocusplank-vm"} {
		writeCommand(&page, commandTrees()[name])
	}
	if *update {
		if err := os.WriteFile(commandsPage, []byte(page.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(commandsPage)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != page.String() {
		t.Errorf("%s is out of date; run: go test ./cmd/crocusplank -update", commandsPage)
	}
}

var (
	inlineCommand = regexp.MustCompile("`(crocusplankd? [^`]+)`")
	blockCommand  = regexp.MustCompile(`^(?:\$ )?(crocusplankd? .+)$`)
	shellSuffix   = regexp.MustCompile(`\s(#|\||>|<|&&|;|&).*$`)
)

// commandLine is a command line found in a documentation page. It is complete if it stands on a line of its own.
type commandLine struct {
	text     string
	complete bool
}

func findCommandLines(page string) []commandLine {
	var commandLines []commandLine
	fenced := false
	var prose strings.Builder
	for line := range strings.Lines(page) {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "```") {
			fenced = !fenced
			continue
		}
		indented := strings.HasPrefix(line, "    ")
		if match := blockCommand.FindStringSubmatch(trimmed); match != nil && (fenced || indented) {
			commandLines = append(commandLines, commandLine{text: match[1], complete: true})
			continue
		}
		prose.WriteString(line)
	}
	for _, match := range inlineCommand.FindAllStringSubmatch(prose.String(), -1) {
		commandLines = append(commandLines, commandLine{text: match[1]})
	}
	return commandLines
}

// checkCommandLine returns an error if a command line is invalid. One within a sentence may omit arguments and flags.
func checkCommandLine(line commandLine) error {
	words := strings.Fields(strings.ReplaceAll(shellSuffix.ReplaceAllString(line.text, ""), "'", ""))
	command, rest, err := commandTrees()[words[0]].Find(words[1:])
	if err != nil {
		return err
	}
	if err := command.ParseFlags(rest); err != nil {
		return err
	}
	arguments := command.Flags().Args()
	if command.HasSubCommands() {
		if len(arguments) > 0 || line.complete {
			return fmt.Errorf("%q has no subcommand %q", command.CommandPath(), arguments)
		}
		return nil
	}
	if !line.complete && len(arguments) == 0 {
		return nil
	}
	if err := command.ValidateArgs(arguments); err != nil {
		return err
	}
	if line.complete {
		return command.ValidateRequiredFlags()
	}
	return nil
}

// Guards against documentation that mentions commands, arguments or flags that do not exist.
func TestCommandsInDocumentsExist(t *testing.T) {
	var names []string
	for _, pattern := range []string{"../../*.md", "../../docs/*.md", "../../docs/*/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		names = append(names, found...)
	}
	checked := 0
	for _, name := range names {
		if filepath.Base(name) == filepath.Base(commandsPage) {
			continue // Generated; its usage lines contain placeholders for flags.
		}
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range findCommandLines(string(data)) {
			checked++
			if err := checkCommandLine(line); err != nil {
				t.Errorf("%s: %s: %v", filepath.Base(name), line.text, err)
			}
		}
	}
	if checked < 20 {
		t.Errorf("command lines found: got %d, want at least 20", checked)
	}
}

// Guards against a checkCommandLine that accepts invalid command lines.
func TestCheckUsageFindsFaults(t *testing.T) {
	tests := map[string]struct {
		line   commandLine
		wantOK bool
	}{
		"whole":             {commandLine{"crocusplank job show ID", true}, true},
		"with redirection":  {commandLine{"crocusplank config show > file", true}, true},
		"global flag first": {commandLine{"crocusplank -o json job list", true}, true},
		"name only":         {commandLine{"crocusplank job show", false}, true},
		"argument missing":  {commandLine{"crocusplank job show", true}, false},
		"unknown command":   {commandLine{"crocusplank jobs", false}, false},
		"unknown child":     {commandLine{"crocusplank job start ID", false}, false},
		"unknown flag":      {commandLine{"crocusplank job show ID --deep", false}, false},
		"required flag":     {commandLine{"crocusplank config apply FILE", true}, false},
		"daemon":            {commandLine{"crocusplankd run FILE", true}, true},
		"daemon unknown":    {commandLine{"crocusplankd start FILE", true}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := checkCommandLine(test.line); (err == nil) != test.wantOK {
				t.Errorf("got %v, want valid %v", err, test.wantOK)
			}
		})
	}
	if got := len(findCommandLines("a `crocusplank status` b\n\n    crocusplank vm show\n\n```\n$ crocusplankd token\n```\n")); got != 3 {
		t.Errorf("command lines found: got %d, want 3", got)
	}
}
