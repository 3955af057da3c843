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

// maxResponseBytes limits a response; one with 1,000 start commands takes about 300 kB.
const maxResponseBytes = 4 << 20

// entryVMTimeout is short enough that a worker tries a second entry VM within a few exchange periods.
const entryVMTimeout = 2 * time.Second

// ExchangeOption sets headers of the requests of an HTTP exchange.
type ExchangeOption func(header http.Header)

// WithExchangeToken sends a bearer token for the platform role with each exchange.
func WithExchangeToken(token string) ExchangeOption {
	return func(header http.Header) { header.Set("Authorization", "Bearer "+token) }
}

// NewHTTPExchange returns an Exchange that posts to the entry VM at the base URL, for example
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
		body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if response.StatusCode != http.StatusOK {
			return nil, Error.New("exchange failed with status %s", response.Status)
		}
		var decoded scheduler.SyncResponse
		return &decoded, Error.Wrap(unmarshal(body, &decoded))
	}
}

// NewFailoverExchange returns an Exchange that tries the entry VMs at the addresses in order until one of them
// responds.
func NewFailoverExchange(addresses []string) Exchange {
	client := &http.Client{Timeout: entryVMTimeout}
	var exchanges []Exchange
	for _, address := range addresses {
		exchanges = append(exchanges, NewHTTPExchange(client, "http://"+address, "application/json"))
	}
	return func(ctx context.Context, request *scheduler.SyncRequest) (response *scheduler.SyncResponse, err error) {
		for _, exchange := range exchanges {
			if response, err = exchange(ctx, request); err == nil {
				return response, nil
			}
		}
		return nil, err
	}
}
