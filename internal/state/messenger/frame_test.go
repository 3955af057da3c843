package messenger

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against frames that are lost, reordered or mixed up when many of them are sent in one message.
func TestFramesShareMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []byte
		a, _ := startPair(t, func(messenger *Messenger) {
			messenger.Handle("g", "tell", func(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
				got = append(got, body[0])
				return nil, nil
			})
			messenger.Handle("g", "echo", func(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) { return body, nil })
		})
		const messages = 200
		var calls sync.WaitGroup
		for number := range messages {
			// Every tenth frame alone fills a message.
			body := make([]byte, 1+number%10/9*maxBatchSize)
			body[0] = byte(number)
			a.Send("b", "g", "tell", body)
			calls.Go(func() {
				response, err := a.Call(t.Context(), "b", "g", "echo", body)
				if err != nil || len(response) != len(body) || response[0] != body[0] {
					t.Errorf("call %d: got %d bytes and %v, want its own %d bytes", number, len(response), err, len(body))
				}
			})
		}
		calls.Wait()
		synctest.Wait()
		for number := range messages {
			if len(got) != messages || got[number] != byte(number) {
				t.Fatalf("got %d messages, want %d in the order in which they were sent", len(got), messages)
			}
		}
	})
}

// Guards against a handler panic that terminates the VM.
func TestHandlerThatPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := startPair(t, func(messenger *Messenger) {
			messenger.Handle("g", "panic", func(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
				return body[:cap(body)+1], nil
			})
			messenger.Handle("g", "echo", func(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) { return body, nil })
		})
		if _, err := a.Call(t.Context(), "b", "g", "panic", nil); !scheduler.ErrOutcomeUnknown.Has(err) {
			t.Errorf("call: got error %v, want one of class unknown: the handler may have had an effect", err)
		}
		a.Send("b", "g", "panic", nil)
		if _, err := a.Call(t.Context(), "b", "g", "echo", []byte("x")); err != nil {
			t.Errorf("call on the same connection: got error %v, want none", err)
		}
	})
}

// Guards against malformed input that terminates the process instead of its connection.
func FuzzDecodeFrames(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x64, 't', 'y', 'p', 'e', 0x64, 's', 'e', 'n', 'd'})
	f.Add([]byte{0xbf, 0xff, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		frames, err := decodeFrames(data)
		var size int
		for _, frame := range frames {
			size += frame.size
		}
		if err == nil && size != len(data) {
			t.Errorf("got frames of %d bytes, want %d", size, len(data))
		}
		if err != nil && !Error.Has(err) {
			t.Errorf("got error %v of another class", errors.Unwrap(err))
		}
	})
}
