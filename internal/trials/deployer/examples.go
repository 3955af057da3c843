package deployer

import (
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/internal/operating/loader"
)

// addressPattern matches the loopback addresses in the text of a settings file.
var addressPattern = regexp.MustCompile(`127\.0\.\d+\.\d+:\d+`)

// FromExamples copies the settings files of an example to a folder, replacing the example's addresses by free ones
// and its paths by paths in the folder. Everything else, including comments, is unchanged, so that tests run the
// published example itself.
func FromExamples(folder, examples string) (*Deployment, error) {
	paths, err := filepath.Glob(filepath.Join(examples, "*.jsonc"))
	if err != nil || len(paths) == 0 {
		return nil, Error.New("no settings files in %s", examples)
	}
	slices.Sort(paths)
	texts := map[string]string{}
	var addresses []string
	for _, path := range paths {
		text, err := os.ReadFile(path) //nolint:gosec // The caller names the folder.
		if err != nil {
			return nil, Error.Wrap(err)
		}
		texts[path] = string(text)
		addresses = append(addresses, addressPattern.FindAllString(texts[path], -1)...)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	replacements, err := freeAddresses(len(addresses))
	if err != nil {
		return nil, err
	}
	deployment := &Deployment{folder: folder}
	if err := deployment.writePeerKey(); err != nil {
		return nil, err
	}
	for _, path := range paths {
		settings, err := deployment.writeExample(filepath.Base(path), texts[path], addresses, replacements)
		if err != nil {
			return nil, err
		}
		deployment.vms = settings.VMs
	}
	return deployment, nil
}

func (deployment *Deployment) writeExample(name, text string, addresses []string, replacements []netip.AddrPort) (*loader.Settings, error) {
	text = addressPattern.ReplaceAllStringFunc(text, func(address string) string {
		index, _ := slices.BinarySearch(addresses, address)
		return replacements[index].String()
	})
	text = strings.ReplaceAll(text, `"data/`, `"`+deployment.folder+"/")
	text = strings.ReplaceAll(text, `"peer.key"`, `"`+deployment.peerKeyFile()+`"`)
	path := filepath.Join(deployment.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	settings, err := loader.Load(path)
	return settings, Error.Wrap(err)
}
