package commander

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/gen/jobs"
	"github.com/crocusplank/crocusplank/gen/state"
)

// completionTimeout is short, because shell completion blocks the operator's prompt.
const completionTimeout = 2 * time.Second

type completion = func(command *cobra.Command, arguments []string, toComplete string) ([]string, cobra.ShellCompDirective)

// addCompletions registers shell completion for flags and arguments. Commands without a function of their
// own complete file names if they read a file, and nothing otherwise.
func (commander *Commander) addCompletions(root *cobra.Command) {
	_ = root.RegisterFlagCompletionFunc("output", fixedCompletion(string(outputTable), string(outputJSON)))
	_ = root.RegisterFlagCompletionFunc("context", commander.completeContexts)
	byPath := map[string]completion{
		"crocusplank job show": commander.completeJobs, "crocusplank job cancel": commander.completeJobs,
		"crocusplank job wait": commander.completeJobs, "crocusplank explain job": commander.completeJobs,
		"crocusplank worker drain": commander.completeWorkers, "crocusplank worker undrain": commander.completeWorkers,
		"crocusplank context use": commander.completeContexts,
		"crocusplank job submit":  nil, "crocusplank config diff": nil, "crocusplank config apply": nil,
		"crocusplank inventory import": nil,
	}
	var visit func(command *cobra.Command)
	visit = func(command *cobra.Command) {
		complete, listed := byPath[command.CommandPath()]
		if !listed {
			complete = cobra.NoFileCompletions
		}
		if command.ValidArgsFunction == nil {
			command.ValidArgsFunction = complete
		}
		if command.Flags().Lookup("format") != nil {
			_ = command.RegisterFlagCompletionFunc("format", fixedCompletion("csv", "json"))
		}
		for _, child := range command.Commands() {
			visit(child)
		}
	}
	visit(root)
}

func fixedCompletion(values ...string) completion {
	return func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return values, cobra.ShellCompDirectiveNoFileComp
	}
}

func (commander *Commander) completeContexts(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	contexts, err := loadContexts(commander.contextFile)
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	return slices.Sorted(maps.Keys(contexts.Contexts)), cobra.ShellCompDirectiveNoFileComp
}

// complete requests names from a server. If no server responds it returns none and prints no error, because
// the message would appear in the middle of the operator's command line.
func (commander *Commander) complete(
	command *cobra.Command, read func(ctx context.Context, clients *apiClients) ([]string, error),
) ([]string, cobra.ShellCompDirective) {
	commander.timeout = min(commander.timeout, completionTimeout)
	var names []string
	err := commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) (err error) {
		names, err = read(ctx, clients)
		return err
	})
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

func (commander *Commander) completeJobs(command *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
	return commander.complete(command, func(ctx context.Context, clients *apiClients) ([]string, error) {
		// One page is enough, since a longer list is of no use for completion.
		page, err := clients.jobs.List(ctx, &jobs.ListPayload{Token: clients.token, Limit: 1000})
		if err != nil {
			return nil, err
		}
		var ids []string
		for _, job := range page.Jobs {
			ids = append(ids, job.ID)
		}
		return ids, nil
	})
}

func (commander *Commander) completeWorkers(command *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
	return commander.complete(command, func(ctx context.Context, clients *apiClients) ([]string, error) {
		page, err := clients.state.Workers(ctx, &state.WorkersPayload{Token: clients.token, Limit: 1000})
		if err != nil {
			return nil, err
		}
		var names []string
		for _, worker := range page.Workers {
			names = append(names, worker.Name)
		}
		return names, nil
	})
}
