package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/internal/operating/composer"
)

const commandsPage = "../../docs/operating/commands.md"

var update = flag.Bool("update", false, "rewrite docs/operating/commands.md")

// trees returns new command trees of both programs, since parsing leaves values in their flags.
func trees() map[string]*cobra.Command {
	operators, daemon := newCommander().Command(), composer.Command()
	for _, root := range []*cobra.Command{operators, daemon} {
		root.InitDefaultHelpCmd()
		root.InitDefaultCompletionCmd()
	}
	return map[string]*cobra.Command{operators.Name(): operators, daemon.Name(): daemon}
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

// Guards against a page that lists commands or flags which the programs do not have.
func TestCommandsPageIsUpToDate(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Commands\n\nThis page is generated from the programs: `go test ./cmd/crocusplank -update`.\n" +
		"`crocusplank completion bash`, and the same for zsh, fish and powershell, prints a script for shell completion.\n")
	for _, name := range []string{"crocusplank", "crocusplankd"} {
		writeCommand(&page, trees()[name])
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
	shellEnd      = regexp.MustCompile(`\s(#|\||>|<|&&|;|&).*$`)
)

// usage is a command line that a page shows. A whole one stands on a line of its own.
type usage struct {
	text  string
	whole bool
}

func usagesIn(page string) []usage {
	var usages []usage
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
			usages = append(usages, usage{text: match[1], whole: true})
			continue
		}
		prose.WriteString(line)
	}
	for _, match := range inlineCommand.FindAllStringSubmatch(prose.String(), -1) {
		usages = append(usages, usage{text: match[1]})
	}
	return usages
}

// checkUsage returns what is wrong with a command line. One in the middle of a sentence may leave out
// arguments and flags.
func checkUsage(usage usage) error {
	words := strings.Fields(strings.ReplaceAll(shellEnd.ReplaceAllString(usage.text, ""), "'", ""))
	command, rest, err := trees()[words[0]].Find(words[1:])
	if err != nil {
		return err
	}
	if err := command.ParseFlags(rest); err != nil {
		return err
	}
	arguments := command.Flags().Args()
	if command.HasSubCommands() {
		if len(arguments) > 0 || usage.whole {
			return fmt.Errorf("%q has no subcommand %q", command.CommandPath(), arguments)
		}
		return nil
	}
	if !usage.whole && len(arguments) == 0 {
		return nil
	}
	if err := command.ValidateArgs(arguments); err != nil {
		return err
	}
	if usage.whole {
		return command.ValidateRequiredFlags()
	}
	return nil
}

// Guards against pages and a README that tell operators to run what does not exist.
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
			continue // It is generated, and its usage lines hold placeholders for flags.
		}
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, usage := range usagesIn(string(data)) {
			checked++
			if err := checkUsage(usage); err != nil {
				t.Errorf("%s: %s: %v", filepath.Base(name), usage.text, err)
			}
		}
	}
	if checked < 20 {
		t.Errorf("command lines found: got %d, want at least 20", checked)
	}
}

// Guards against a check that passes everything.
func TestCheckUsageFindsFaults(t *testing.T) {
	tests := map[string]struct {
		usage  usage
		wantOK bool
	}{
		"whole":             {usage{"crocusplank job show ID", true}, true},
		"with redirection":  {usage{"crocusplank config show > file", true}, true},
		"global flag first": {usage{"crocusplank -o json job list", true}, true},
		"name only":         {usage{"crocusplank job show", false}, true},
		"argument missing":  {usage{"crocusplank job show", true}, false},
		"unknown command":   {usage{"crocusplank jobs", false}, false},
		"unknown child":     {usage{"crocusplank job start ID", false}, false},
		"unknown flag":      {usage{"crocusplank job show ID --deep", false}, false},
		"required flag":     {usage{"crocusplank config apply FILE", true}, false},
		"daemon":            {usage{"crocusplankd run FILE", true}, true},
		"daemon unknown":    {usage{"crocusplankd start FILE", true}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := checkUsage(test.usage); (err == nil) != test.wantOK {
				t.Errorf("got %v, want valid %v", err, test.wantOK)
			}
		})
	}
	if got := len(usagesIn("a `crocusplank status` b\n\n    crocusplank vm show\n\n```\n$ crocusplankd token\n```\n")); got != 3 {
		t.Errorf("command lines found: got %d, want 3", got)
	}
}
