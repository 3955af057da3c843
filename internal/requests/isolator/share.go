package isolator

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("isolator")

const kindBlame scheduler.MessageKind = "crashBlame"

// blameMessage tells other gateways for how many crashes requests with a fingerprint have been blamed.
type blameMessage struct {
	Fingerprint []byte `cbor:"f"`
	Crashes     int    `cbor:"c"`
}

// WithSharing shares blame with the gateways that peers returns. It registers a message handler, so New must be called
// before the transport starts. A gateway that a message doesn't reach counts the crashes that it sees itself.
func WithSharing(transport scheduler.Transport, peers func() []scheduler.Gateway) Option {
	return func(isolator *Isolator) {
		isolator.share = func(fingerprint Fingerprint, crashes int) {
			body, err := cbor.Marshal(blameMessage{Fingerprint: fingerprint[:], Crashes: crashes})
			if err != nil {
				return
			}
			for _, peer := range peers() {
				if peer.VM != transport.Self() {
					transport.Send(peer.VM, scheduler.GlobalGroup, kindBlame, body)
				}
			}
		}
		transport.Handle(scheduler.GlobalGroup, kindBlame, isolator.handleBlame)
	}
}

// handleBlame records the blame that another gateway has counted. Two gateways may have seen the same crash, so the
// higher count is kept instead of the sum.
func (isolator *Isolator) handleBlame(_ context.Context, from scheduler.VMName, body []byte) ([]byte, error) {
	var message blameMessage
	if err := cbor.Unmarshal(body, &message); err != nil {
		return nil, Error.New("decode blame of VM %s: %v", from, err)
	}
	if len(message.Fingerprint) != len(Fingerprint{}) || message.Crashes < 1 {
		return nil, Error.New("rejected blame of VM %s", from)
	}
	isolator.mutex.Lock()
	defer isolator.mutex.Unlock()
	existing := isolator.record(Fingerprint(message.Fingerprint), time.Now())
	existing.crashes = max(existing.crashes, min(message.Crashes, CrashLimit))
	return nil, nil
}
