package kernel

import (
	"context"
	"errors"
	"slices"
	"testing"
)

// fakeRole records the calls of its methods and returns an error from the method named failOn.
type fakeRole struct {
	name   string
	calls  *[]string
	failOn string
}

func (fakeRole *fakeRole) Start(context.Context) error { return fakeRole.recordCall("start") }
func (fakeRole *fakeRole) Stop(context.Context) error  { return fakeRole.recordCall("stop") }

func (fakeRole *fakeRole) recordCall(call string) error {
	*fakeRole.calls = append(*fakeRole.calls, call+" "+fakeRole.name)
	if fakeRole.failOn == call {
		return errors.New(call + " failed")
	}
	return nil
}

// replaceRegistry replaces the global registry for the duration of a test.
func replaceRegistry(t *testing.T, plugins map[string]Plugin) {
	t.Helper()
	saved := registry
	registry = plugins
	t.Cleanup(func() { registry = saved })
}

// Guards against roles that start before their dependencies, that keep running after another role has failed to start,
// and that stop in the wrong order.
func TestStartAndStop(t *testing.T) {
	tests := map[string]struct {
		names      []string
		startAfter map[string][]string
		failOn     map[string]string
		wantCalls  []string
		wantError  bool
	}{
		"dependency order": {
			names:      []string{"gateway", "replica"},
			startAfter: map[string][]string{"gateway": {"replica"}},
			wantCalls:  []string{"start replica", "start gateway", "stop gateway", "stop replica"},
		},
		"missing optional dependency": {
			names:      []string{"gateway"},
			startAfter: map[string][]string{"gateway": {"replica"}},
			wantCalls:  []string{"start gateway", "stop gateway"},
		},
		"second role fails to start": {
			names:     []string{"replica", "gateway"},
			failOn:    map[string]string{"gateway": "start"},
			wantCalls: []string{"start replica", "start gateway", "stop replica"},
			wantError: true,
		},
		"roles after a failed stop are stopped": {
			names:     []string{"replica", "gateway"},
			failOn:    map[string]string{"gateway": "stop"},
			wantCalls: []string{"start replica", "start gateway", "stop gateway", "stop replica"},
			wantError: true,
		},
		"unknown role": {names: []string{"nothing"}, wantError: true},
		"dependency cycle": {
			names:      []string{"replica", "gateway"},
			startAfter: map[string][]string{"gateway": {"replica"}, "replica": {"gateway"}},
			wantError:  true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var calls []string
			plugins := map[string]Plugin{}
			for _, role := range []string{"replica", "gateway"} {
				build := func(ServiceRegistry) (Role, error) {
					return &fakeRole{name: role, calls: &calls, failOn: test.failOn[role]}, nil
				}
				plugins[role] = Plugin{name: role, startAfter: test.startAfter[role], build: build}
			}
			replaceRegistry(t, plugins)
			kernel := New()
			err := kernel.Build(test.names)
			if err == nil {
				err = kernel.Start(t.Context())
			}
			if err == nil {
				err = kernel.Stop(t.Context())
			}
			if got := err != nil; got != test.wantError {
				t.Errorf("error: got %v, want one: %v", err, test.wantError)
			}
			if !slices.Equal(calls, test.wantCalls) {
				t.Errorf("calls: got %v, want %v", calls, test.wantCalls)
			}
		})
	}
}

// Guards against registering two roles under the same name, of which one would silently never start.
func TestRegisterTwicePanics(t *testing.T) {
	replaceRegistry(t, map[string]Plugin{})
	build := func(ServiceRegistry) (Role, error) { return nil, nil }
	Register("role", build)
	defer func() {
		if recover() == nil {
			t.Error("second registration: got no panic, want one")
		}
	}()
	Register("role", build)
}
