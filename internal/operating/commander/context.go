package commander

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"
)

// target holds the servers and credentials of one deployment. It is a settings type.
type target struct {
	Servers   []string `json:"servers"`
	TokenFile string   `json:"tokenFile,omitempty"`
	// CAFile is empty for servers without TLS.
	CAFile string `json:"caFile,omitempty"`
}

// contextFile holds the named contexts, one for each deployment, and the current one. It is a settings type.
type contextFile struct {
	Current  string            `json:"current"`
	Contexts map[string]target `json:"contexts"`
}

func defaultContextFile() string {
	folder, err := os.UserConfigDir()
	if err != nil {
		return ""
	}
	return filepath.Join(folder, "crocusplank", "contexts.json")
}

// target returns the servers and credentials given by the flags, or else those of the selected context.
func (commander *Commander) target() (target, error) {
	if len(commander.servers) > 0 {
		return target{Servers: commander.servers, TokenFile: commander.tokenFile, CAFile: commander.caFile}, nil
	}
	contexts, err := loadContexts(commander.contextFile)
	if err != nil {
		return target{}, err
	}
	name := commander.contextName
	if name == "" {
		name = contexts.Current
	}
	selected, known := contexts.Contexts[name]
	if !known {
		return target{}, newUsageError("no context %q in %s; pass --server or add it with \"crocusplank context set\"", name, commander.contextFile)
	}
	if len(selected.Servers) == 0 {
		return target{}, newUsageError("context %q has no servers", name)
	}
	if commander.tokenFile != "" {
		selected.TokenFile = commander.tokenFile
	}
	if commander.caFile != "" {
		selected.CAFile = commander.caFile
	}
	return selected, nil
}

// loadContexts reads the context file. A missing file yields no contexts.
func loadContexts(path string) (contextFile, error) {
	contexts := contextFile{Contexts: map[string]target{}}
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if os.IsNotExist(err) {
		return contexts, nil
	}
	if err != nil {
		return contexts, newUsageError("read contexts: %v", err)
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return contexts, newUsageError("%s: %v", path, err)
	}
	if err := json.Unmarshal(standard, &contexts); err != nil {
		return contexts, newUsageError("%s: %v", path, err)
	}
	return contexts, nil
}

func (contextFile contextFile) save(path string) error {
	data, err := json.MarshalIndent(contextFile, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return Error.Wrap(err)
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, append(data, '\n'), 0o600); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.Rename(temporary, path))
}

func (commander *Commander) contextCommand() *cobra.Command {
	parent := &cobra.Command{Use: "context", Short: "Choose between deployments"}
	parent.AddCommand(commander.contextSetCommand(), commander.contextUseCommand(), commander.contextListCommand())
	return parent
}

func (commander *Commander) contextSetCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "set NAME --server IP:PORT[,IP:PORT...]",
		Short: "Add or change a context and make it the current one",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			if len(commander.servers) == 0 {
				return newUsageError("context set needs --server")
			}
			return commander.changeContexts(func(contexts *contextFile) error {
				contexts.Contexts[arguments[0]] = target{Servers: commander.servers, TokenFile: commander.tokenFile, CAFile: commander.caFile}
				contexts.Current = arguments[0]
				return nil
			})
		},
	}
}

func (commander *Commander) contextUseCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "use NAME",
		Short: "Make a context the current one",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			return commander.changeContexts(func(contexts *contextFile) error {
				if _, known := contexts.Contexts[arguments[0]]; !known {
					return newUsageError("no context %q", arguments[0])
				}
				contexts.Current = arguments[0]
				return nil
			})
		},
	}
}

func (commander *Commander) changeContexts(change func(contexts *contextFile) error) error {
	contexts, err := loadContexts(commander.contextFile)
	if err != nil {
		return err
	}
	if err := change(&contexts); err != nil {
		return err
	}
	return contexts.save(commander.contextFile)
}

func (commander *Commander) contextListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the contexts",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			contexts, err := loadContexts(commander.contextFile)
			if err != nil {
				return err
			}
			var names []string
			for name := range contexts.Contexts {
				names = append(names, name)
			}
			slices.Sort(names)
			rows := newTable("CURRENT", "NAME", "SERVERS")
			for _, name := range names {
				mark := ""
				if name == contexts.Current {
					mark = "*"
				}
				rows.add(mark, name, fmt.Sprint(contexts.Contexts[name].Servers))
			}
			return commander.print(command, contexts, rows)
		},
	}
}
