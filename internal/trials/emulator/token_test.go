package emulator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against emulated workers and endpoints that are rejected because their token is not sent, and against an
// Authorization header without a token.
func TestTokens(t *testing.T) {
	headers := make(chan string, 1)
	system := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		headers <- request.Header.Get("Authorization")
		_, _ = io.WriteString(writer, "{}")
	}))
	defer system.Close()
	exchange := func(options ...ExchangeOption) func(ctx context.Context) error {
		return func(ctx context.Context) error {
			_, err := NewHTTPExchange(system.Client(), system.URL, "application/json", options...)(ctx, &scheduler.SyncRequest{Worker: "w"})
			return err
		}
	}
	announce := func(options ...EndpointOption) func(ctx context.Context) error {
		return func(ctx context.Context) error {
			return NewEndpoint("e", "s", "d", 1, 0, nil, options...).post(ctx, system.URL, nil)
		}
	}
	tests := map[string]struct {
		send func(ctx context.Context) error
		want string
	}{
		"exchange":               {exchange(WithExchangeToken("secret")), "Bearer secret"},
		"exchange without token": {exchange(), ""},
		"endpoint":               {announce(WithEndpointToken("secret")), "Bearer secret"},
		"endpoint without token": {announce(), ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := test.send(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := <-headers; got != test.want {
				t.Errorf("header: got %q, want %q", got, test.want)
			}
		})
	}
}
