package handler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// evacuationNetwork is a Network whose only VM applies evacuation requests to a Keeper.
type evacuationNetwork struct {
	fakeNetwork
	t      *testing.T
	keeper *jobkeeper.Keeper
	// before is called before each request. An error of it is the response; the request then has no effect.
	before func(request *Request) error
	// after is called after each request. An error of it replaces the response of a request that took effect.
	after func(request *Request) error
}

func (network *evacuationNetwork) Call(
	ctx context.Context, _ scheduler.VMName, _ scheduler.GroupName, _ scheduler.MessageKind, body []byte,
) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, scheduler.ErrNotRun.Wrap(ctx.Err())
	}
	var request Request
	if err := encoder.Unmarshal(body, &request); err != nil {
		network.t.Fatal(err)
	}
	if err := network.before(&request); err != nil {
		return nil, err
	}
	response := Response{Status: StatusDone}
	if request.Evacuate != nil {
		if network.apply(request.Evacuate.Evacuation, request.Evacuate.Revision) == jobkeeper.StatusSuperseded {
			response.Status = StatusSuperseded
		}
	} else {
		response.EvacuationRevision = network.evacuation().Revision()
	}
	if err := network.after(&request); err != nil {
		return nil, err
	}
	return encoder.Marshal(response)
}

func (network *evacuationNetwork) apply(evacuation scheduler.Evacuation, revision uint64) jobkeeper.Status {
	data, err := jobkeeper.Command{Evacuate: &jobkeeper.Evacuate{Evacuation: evacuation, Revision: revision}}.Encode()
	if err != nil {
		network.t.Fatal(err)
	}
	result, err := jobkeeper.DecodeResult(network.keeper.Apply(1, data))
	if err != nil {
		network.t.Fatal(err)
	}
	return result.Status
}

func (network *evacuationNetwork) evacuation() (evacuation jobkeeper.Evacuation) {
	network.keeper.View(func(state *jobkeeper.State) { evacuation = state.Evacuation("a") })
	return evacuation
}

// Guards against an evacuation that is lost or reported wrongly when the leader or a response is lost, against a caller
// that waits in vain because another request was accepted first, and against a request of a caller that has given up.
func TestEvacuateThroughFailures(t *testing.T) {
	begin := scheduler.Evacuation{DataCentre: "a", Action: scheduler.EvacuationBegin}
	end := scheduler.Evacuation{DataCentre: "a", Action: scheduler.EvacuationEnd}
	// once returns a function that calls act with the first evacuation request only.
	once := func(act func() error) func(request *Request) error {
		called := false
		return func(request *Request) error {
			if request.Evacuate == nil || called {
				return nil
			}
			called = true
			return act()
		}
	}
	tests := map[string]struct {
		before, after func(network *evacuationNetwork, cancel context.CancelFunc) func(request *Request) error
		want          Status
		wantActive    bool
		wantRevision  uint64
	}{
		"calm": {want: StatusDone, wantActive: true, wantRevision: 1},
		"the leader dies before it appends the request": {
			before: func(*evacuationNetwork, context.CancelFunc) func(request *Request) error {
				return once(func() error { return scheduler.ErrNotRun.New("the connection was refused") })
			},
			want: StatusDone, wantActive: true, wantRevision: 1,
		},
		"the leader dies before it acknowledges the request": {
			after: func(*evacuationNetwork, context.CancelFunc) func(request *Request) error {
				return once(func() error { return scheduler.ErrOutcomeUnknown.New("the connection was reset") })
			},
			want: StatusDone, wantActive: true, wantRevision: 1,
		},
		"the response is lost and the opposite is accepted": {
			after: func(network *evacuationNetwork, _ context.CancelFunc) func(request *Request) error {
				return once(func() error {
					network.apply(end, 1)
					return scheduler.ErrOutcomeUnknown.New("the connection was reset")
				})
			},
			want: StatusDone, wantActive: true, wantRevision: 3,
		},
		"another operator is first": {
			before: func(network *evacuationNetwork, _ context.CancelFunc) func(request *Request) error {
				return once(func() error {
					network.apply(begin, 0)
					network.apply(end, 1)
					return nil
				})
			},
			want: StatusDone, wantActive: true, wantRevision: 3,
		},
		"the caller gives up before the request is sent": {
			before: func(_ *evacuationNetwork, cancel context.CancelFunc) func(request *Request) error {
				return func(*Request) error { cancel(); return nil }
			},
			want: StatusUnavailable,
		},
	}
	pass := func(*Request) error { return nil }
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
				defer cancel()
				network := &evacuationNetwork{t: t, keeper: jobkeeper.New(), before: pass, after: pass}
				if test.before != nil {
					network.before = test.before(network, cancel)
				}
				if test.after != nil {
					network.after = test.after(network, cancel)
				}
				client := NewLeaderClient(network, "domain", []scheduler.VMName{"core"}, nil, tally.NoopScope, zerolog.Nop())
				if got := client.Evacuate(ctx, begin, "operator"); got.Status != test.want {
					t.Errorf("got %+v, want status %s", got, test.want)
				}
				if got := network.evacuation(); got.Active() != test.wantActive || got.Revision() != test.wantRevision {
					t.Errorf("got %+v, want active %v at revision %d", got, test.wantActive, test.wantRevision)
				}
			})
		})
	}
}

// Guards against the evacuation of a data centre that does not exist, which nobody would ever end.
func TestUnknownDataCentre(t *testing.T) {
	tests := map[string]struct {
		dataCentres []scheduler.DataCentreName
		want        Status
	}{
		"no list": {nil, StatusDone}, "listed": {[]scheduler.DataCentreName{"b", "a"}, StatusDone},
		"not listed": {[]scheduler.DataCentreName{"b"}, StatusInvalid},
	}
	for name, test := range tests {
		handler := New(nil, jobkeeper.New(), nil, nil, zerolog.Nop(), WithDataCentres(test.dataCentres))
		if got := handler.checkDataCentre("a").Status; got != test.want {
			t.Errorf("%s: got %s, want %s", name, got, test.want)
		}
	}
}
