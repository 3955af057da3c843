package loader

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func readExample(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "couva", "couva-1.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestExamples guards against example settings that the daemon rejects.
func TestExamples(t *testing.T) {
	names, err := filepath.Glob(filepath.Join("..", "..", "..", "examples", "*", "*.jsonc"))
	if err != nil || len(names) != 12 {
		t.Fatalf("got %d examples, %v, want 12", len(names), err)
	}
	for _, name := range names {
		settings, err := Load(name)
		if err != nil {
			t.Errorf("got error %v, want none", err)
			continue
		}
		if got, want := string(settings.VM)+".jsonc", filepath.Base(name); got != want {
			t.Errorf("got VM of %s, want %s", got, want)
		}
		if got, want := settings.HasDisk(), strings.HasSuffix(string(settings.VM), "-1"); got != want {
			t.Errorf("%s: got disk %v, want %v", name, got, want)
		}
		if got := settings.Limits.StopTimeout; got != 60*time.Second || !settings.HasRole(RoleGateway) {
			t.Errorf("%s: got stop timeout %s, roles %v", name, got, settings.Roles)
		}
		if got, want := len(settings.OwnGroups()), 2; settings.HasDisk() == (got == want) {
			t.Errorf("%s: got %d own groups, disk %v", name, got, settings.HasDisk())
		}
	}
}

// TestFaults replaces one string in a valid file. Each case guards against accepting settings that don't have the
// effect that their author intends, or that violate the voter rule.
func TestFaults(t *testing.T) {
	const (
		global1 = `{"vm": "couva-1", "dataCentre": "couva", "disk": true, "voter": true, "standsForElection": true},`
		global2 = `{"vm": "couva-2", "dataCentre": "couva", "disk": false, "voter": false, "standsForElection": false},`
		local2  = `{"vm": "couva-2", "dataCentre": "couva", "disk": false, "voter": true, "standsForElection": true},`
		remote  = `{"vm": "chaguanas-1", "dataCentre": "chaguanas", "disk": true, "voter": true, "standsForElection": false},`
	)
	edit := func(text, from, to string) string { return strings.Replace(text, from, to, 1) }
	cases := map[string]struct {
		old, new string
		want     []string
	}{
		"syntax":                      {`"vm": "couva-1",`, `"vm" "couva-1",`, []string{`4:8: invalid character '"' after object name`}},
		"unknown key":                 {`"dataFolder"`, `"dataFoldr"`, []string{`20:3: dataFoldr: unknown key, did you mean "dataFolder"?`, `3:1: dataFolder: is missing or empty, but VM "couva-1" is a member with a disk`}},
		"no similar key":              {`"level"`, `"x"`, []string{`: log.x: unknown key, known values are level, format`}},
		"wrong case":                  {`"maxBodyBytes"`, `"MaxBodyBytes"`, []string{`did you mean "maxBodyBytes"?`}},
		"duplicate key":               {`"vm": "couva-1",`, `"vm": "couva-1", "vm": "couva-2",`, []string{`4:20: vm: duplicate key`}},
		"string for a number":         {`"maxHeaderBytes": 65536`, `"maxHeaderBytes": "64k"`, []string{`limits.maxHeaderBytes: want an integer, got a string`}},
		"fraction":                    {`"maxHeaderBytes": 65536`, `"maxHeaderBytes": 1.5`, []string{`want an integer of at most 64 bits, got 1.5`}},
		"number for a string":         {`"vm": "couva-1"`, `"vm": 1`, []string{`4:9: vm: want a string in quotes, got a number`}},
		"null":                        {`"vm": "couva-1"`, `"vm": null`, []string{`vm: want a string in quotes, got null`}},
		"string for an object":        {`{"level": "info", "format": "json"}`, `"info"`, []string{`log: want an object, got a string`}},
		"string for an array":         {`["replica", "scheduler", "gateway"]`, `"replica"`, []string{`roles: want an array, got a string`}},
		"string for a boolean":        {`"disk": true`, `"disk": "yes"`, []string{`disk: want true or false, got a string`}},
		"number as duration":          {`"30s"`, `30`, []string{`limits.requestTimeout: want a string in quotes, got a number`}},
		"duration, no unit":           {`"30s"`, `"30"`, []string{`want a duration such as "15s" or "250ms", got "30"`}},
		"duration, too long":          {`"30s"`, `"11m"`, []string{`limits.requestTimeout: want 100ms to 10m0s, got 11m0s`}},
		"number too small":            {`"maxHeaderBytes": 65536`, `"maxHeaderBytes": 0`, []string{`limits.maxHeaderBytes: want 1024 to 1048576, got 0`}},
		"negative":                    {`"queueLength": 800`, `"queueLength": -1`, []string{`limits.queueLength: want 1 to 1000000, got -1`}},
		"disk too small":              {`"queueLength": 800`, `"diskBytes": 67108863`, []string{`68:18: limits.diskBytes: want 67108864 to 1099511627776, got 67108863`}},
		"disk size with a unit":       {`"queueLength": 800`, `"diskBytes": "128MB"`, []string{`68:18: limits.diskBytes: want an integer, got a string`}},
		"unknown role":                {`"gateway"]`, `"gatewy"]`, []string{`9:37: roles[2]: unknown role "gatewy", did you mean "gateway"?`}},
		"role twice":                  {`"gateway"]`, `"replica"]`, []string{`roles[2]: role "replica" is listed twice`}},
		"replica missing":             {`"replica", `, ``, []string{`needs the role "replica"`, `has the role "replica" exactly when`}},
		"unknown level":               {`"info"`, `"inf"`, []string{`log.level: unknown value "inf", did you mean "info"?`}},
		"unknown format":              {`"format": "json"`, `"format": "xml"`, []string{`log.format: unknown value "xml"`}},
		"no key file":                 {`"peer.key"`, `""`, []string{`tokens.peerKeyFile: is missing or empty`}},
		"incomplete tls":              {`"log":`, `"tls": {"keyFile": "k"}, "log":`, []string{`tls.certificateFile: is missing or empty`}},
		"host name":                   {`"127.0.1.1:7300"`, `"localhost:7300"`, []string{`addresses.metrics: want an IP address with a port`}},
		"all interfaces":              {`"127.0.1.1:7300"`, `"0.0.0.0:7300"`, []string{`want the address of a single interface`}},
		"no port":                     {`"127.0.1.1:7300"`, `"127.0.1.1:0"`, []string{`and a port above 0`}},
		"address twice":               {`"127.0.1.1:7300"`, `"127.0.1.2:7200"`, []string{`addresses.metrics: 127.0.1.2:7200 is also the address of vms[1].apiAddress`}},
		"address missing":             {`"caller": "127.0.1.1:8080",`, ``, []string{`12:16: addresses.caller: is missing`}},
		"own address differs":         {`"peer": "127.0.1.1:7100"`, `"peer": "127.0.1.9:7100"`, []string{`addresses.peer: 127.0.1.9:7100 differs from peerAddress 127.0.1.1:7100 of VM "couva-1"`}},
		"own VM not listed":           {`"vm": "couva-1"`, `"vm": "couva-3"`, []string{`4:9: vm: VM "couva-3" is not listed in vms, did you mean "couva-1"?`}},
		"other data centre":           {`"dataCentre": "couva"`, `"dataCentre": "chaguanas"`, []string{`5:17: dataCentre: VM "couva-1" is listed with data centre "couva", got "chaguanas"`}},
		"bad name":                    {`{"name": "couva-2"`, `{"name": "../couva-2"`, []string{`vms[1].name: want at most 63 characters`, `VM "couva-2" is not listed`, `VM "couva-2" is not listed`}},
		"VM twice":                    {`{"name": "couva-2"`, `{"name": "couva-1"`, []string{`VM "couva-1" is listed twice`, `VM "couva-2" is not listed`, `VM "couva-2" is not listed`}},
		"no data folder":              {`"data/couva-1"`, `""`, []string{`dataFolder: is missing or empty, but`}},
		"folder without disk":         {`"vm": "couva-1"`, `"vm": "couva-2"`, []string{`dataFolder: is set, but VM "couva-2"`, `differs`, `differs`, `differs`}},
		"disk differs":                {local2, edit(local2, `"disk": false`, `"disk": true`), []string{`VM "couva-2" has disk false in another group, got true`}},
		"group missing":               {`"name": "couva", "members"`, `"name": "couvaa", "members"`, []string{`groups[1].name: unknown group name, did you mean "couva"?`, `groups: missing groups: couva`}},
		"group twice":                 {`"name": "chaguanas", "members"`, `"name": "couva", "members"`, []string{`group "couva" is listed twice`, `missing groups: chaguanas`}},
		"member twice":                {local2, local2 + local2, []string{`VM "couva-2" is listed twice`}},
		"two voters":                  {local2, edit(edit(local2, `"voter": true`, `"voter": false`), `"standsForElection": true`, `"standsForElection": false`), []string{`has 2 voters, want 3`, `has 1 voters in its own data centre, want 2`}},
		"local member missing":        {local2, ``, []string{`has 2 voters, want 3`, `has 1 voters in its own`, `VM "couva-2" of this data centre is missing`}},
		"learner stands for election": {local2, edit(local2, `"voter": true`, `"voter": false`), []string{`a learner cannot stand for election`}},
		"remote stands for election":  {remote, edit(remote, `"standsForElection": false`, `"standsForElection": true`), []string{`only VMs of data centre "couva" can become leader`}},
		"one disk":                    {remote, `{"vm": "chaguanas-2", "dataCentre": "chaguanas", "disk": false, "voter": true},`, []string{`has 1 voters with a disk, want at least 2`}},
		"global, no disk":             {global1, edit(global1, `true`, `false`), []string{`voters of group "global" need a disk`, `groups[1].members[0].disk: VM "couva-1" has disk false in another group, got true`, `groups[3].members[2].disk`, `dataFolder: is set`}},
		"global, same data centre":    {global2, edit(global2, `"voter": false`, `"voter": true`), []string{`need a disk`, `voter "couva-1" is in the same data centre`, `has 4 voters, want 3 or 5`}},
	}
	example := readExample(t)
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(example, test.old) {
				t.Fatalf("example lacks %q", test.old)
			}
			wantFaults(t, edit(example, test.old, test.new), test.want)
		})
	}
}

// wantFaults checks that exactly the wanted faults are reported, in any order.
func wantFaults(t *testing.T, text string, want []string) {
	t.Helper()
	_, err := Parse("s.jsonc", []byte(text))
	var settingsError *SettingsError
	if !errors.As(err, &settingsError) || !Error.Has(err) {
		t.Fatalf("got error %v, want a SettingsError", err)
	}
	if len(settingsError.Faults()) != len(want) {
		t.Errorf("got %d faults, want %d", len(settingsError.Faults()), len(want))
	}
	for _, text := range want {
		if !strings.Contains(err.Error(), text) {
			t.Errorf("got %v\nwant %s", err, text)
		}
	}
}

// TestAllFaultsAtOnce guards against reporting only some faults, so that an operator has to run the daemon once per
// fault.
func TestAllFaultsAtOnce(t *testing.T) {
	wantFaults(t, `{"vm": 1, "rolls": [], "addresses": {}, "limits": {"queueLength": 0}}`, []string{
		`s.jsonc:1:8: vm: want a string`, `1:11: rolls: unknown key, did you mean "roles"?`, `roles: is missing`,
		`1:37: addresses.peer: is missing`, `addresses.caller: is`, `addresses.api: is`, `addresses.metrics: is`,
		`1:67: limits.queueLength: want 1`, `vms: is missing`, `groups: missing groups: global`, `tokens.peerKeyFile: is missing`,
	})
}

// TestMissingFile guards against starting with default settings when the settings file does not exist.
func TestMissingFile(t *testing.T) {
	if _, err := Load(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) || !Error.Has(err) {
		t.Errorf("got error %v, want %v", err, os.ErrNotExist)
	}
}

// FuzzParse guards against settings files that cause a panic instead of reported faults.
func FuzzParse(f *testing.F) {
	f.Add(readExample(f))
	f.Add(`{"groups": [{"members": [{}]}], "vms": [{}], "tls": {}, /* c */}`)
	f.Fuzz(func(t *testing.T, text string) {
		if settings, err := Parse("s.jsonc", []byte(text)); (settings == nil) == (err == nil) {
			t.Errorf("got settings %v, error %v, want one of them", settings, err)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	example := []byte(readExample(b))
	for b.Loop() {
		if _, err := Parse("s.jsonc", example); err != nil {
			b.Fatal(err)
		}
	}
}
