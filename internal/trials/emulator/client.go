package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/fxamacker/cbor/v2"
)

// maxAnswer bounds an answer; one with 1,000 start commands has about 300 kB.
const maxAnswer = 4 << 20

// addressTimeout lets a worker ask a second entry VM within a few periods of the exchange.
const addressTimeout = 2 * time.Second

// ExchangeOption changes an exchange under construction.
type ExchangeOption func(header http.Header)

// WithExchangeToken sends a token of the role platform with each exchange.
func WithExchangeToken(token string) ExchangeOption {
	return func(header http.Header) { header.Set("Authorization", "Bearer "+token) }
}

// NewHTTPExchange returns an Exchange that posts to the system at base, for example
// "http://10.0.0.1:7000". mediaType is "application/json" or "application/cbor".
func NewHTTPExchange(client *http.Client, base, mediaType string, options ...ExchangeOption) Exchange {
	marshal, unmarshal := json.Marshal, json.Unmarshal
	if mediaType == "application/cbor" {
		marshal, unmarshal = cbor.Marshal, cbor.Unmarshal
	}
	return func(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error) {
		body, err := marshal(request)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		address := base + "/v1/workers/" + url.PathEscape(string(request.Worker)) + "/sync"
		post, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		post.Header.Set("Content-Type", mediaType)
		post.Header.Set("Accept", mediaType)
		for _, option := range options {
			option(post.Header)
		}
		response, err := client.Do(post)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		defer response.Body.Close() //nolint:errcheck // The body has been read.
		body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswer))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if response.StatusCode != http.StatusOK {
			return nil, Error.New("exchange answered %s", response.Status)
		}
		var answer scheduler.SyncResponse
		return &answer, Error.Wrap(unmarshal(body, &answer))
	}
}

// NewFailoverExchange returns an Exchange that asks the entry VMs at the addresses in turn until one
// answers.
func NewFailoverExchange(addresses []string) Exchange {
	client := &http.Client{Timeout: addressTimeout}
	var exchanges []Exchange
	for _, address := range addresses {
		exchanges = append(exchanges, NewHTTPExchange(client, "http://"+address, "application/json"))
	}
	return func(ctx context.Context, request *scheduler.SyncRequest) (answer *scheduler.SyncResponse, err error) {
		for _, exchange := range exchanges {
			if answer, err = exchange(ctx, request); err == nil {
				return answer, nil
			}
		}
		return nil, err
	}
}
