package configurator

import (
	"errors"
	"io"
	"sync"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
)

// notifier signals state changes to subscribers. Signals carry no value and are coalesced, so a slow
// subscriber reads only the newest state.
type notifier struct {
	mutex         sync.Mutex
	subscriptions map[*Subscription]struct{}
}

// Subscription receives change signals until it is closed.
type Subscription struct {
	notifier *notifier
	changed  chan struct{}
}

func (notifier *notifier) subscribe() *Subscription {
	notifier.mutex.Lock()
	defer notifier.mutex.Unlock()
	if notifier.subscriptions == nil {
		notifier.subscriptions = map[*Subscription]struct{}{}
	}
	subscription := &Subscription{notifier: notifier, changed: make(chan struct{}, 1)}
	notifier.subscriptions[subscription] = struct{}{}
	return subscription
}

// notify never blocks, because it is called while a state machine applies an entry.
func (notifier *notifier) notify() {
	notifier.mutex.Lock()
	defer notifier.mutex.Unlock()
	for subscription := range notifier.subscriptions {
		select {
		case subscription.changed <- struct{}{}:
		default:
		}
	}
}

// Changed returns a channel that receives a value after one or more changes.
func (subscription *Subscription) Changed() <-chan struct{} { return subscription.changed }

// Close cancels the subscription. It may be called more than once.
func (subscription *Subscription) Close() {
	subscription.notifier.mutex.Lock()
	defer subscription.notifier.mutex.Unlock()
	delete(subscription.notifier.subscriptions, subscription)
}

// decodeState decodes a snapshot into state. It leaves state unchanged if the reader is empty.
func decodeState(r io.Reader, state any) error {
	if err := encoder.NewDecoder(r).Decode(state); err != nil && !errors.Is(err, io.EOF) {
		return Error.New("decode snapshot: %w", err)
	}
	return nil
}
