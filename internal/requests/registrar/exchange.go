package registrar

import (
	"cmp"
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	kindAnnouncements scheduler.MessageKind = "announcements"
	// ageUnit is the resolution of ages in the exchange.
	ageUnit = 10 * time.Millisecond
	// silentAfter is how long a gateway counts as connected after its last answer.
	silentAfter = 1500 * time.Millisecond
	// batchLimit keeps the answer to a gateway that knows nothing within one message of moderate
	// size; the rest follows in the next batch.
	batchLimit = 1000
)

// exchangeAsk asks a gateway for what it has received since Sequence of its life Session.
type exchangeAsk struct {
	Session  scheduler.Incarnation `cbor:"s"`
	Sequence uint64                `cbor:"q"`
}

// exchangeAnswer carries full announcements for what has changed and Renewals for what has only been
// repeated. Ages count from the answer. Gateways is the table of names that Renewals refers to.
type exchangeAnswer struct {
	Session  scheduler.Incarnation `cbor:"s"`
	Sequence uint64                `cbor:"q"`
	Full     []numberedEntry       `cbor:"f,omitempty"`
	Gateways []scheduler.GatewayID `cbor:"g,omitempty"`
	Renewals []byte                `cbor:"r,omitempty"`
}

type numberedEntry struct {
	Number       uint64                 `cbor:"n"`
	Age          uint64                 `cbor:"g"`
	Announcement scheduler.Announcement `cbor:"a"`
}

// peer is the state of the exchange with another gateway of the data centre.
type peer struct {
	session  scheduler.Incarnation
	sequence uint64
	numbers  map[uint64]scheduler.Announcement
	seen     map[uint64]time.Time
	answered time.Time
	asking   bool
}

// exchange asks every other gateway of the data centre for what is new. The asker dates ages back
// from the moment of its question, so a delayed answer makes an announcement look older, never
// younger.
func (registrar *Registrar) exchange(ctx context.Context) {
	for _, gateway := range registrar.gateways() {
		if gateway.VM != registrar.self.VM && gateway.DataCentre == registrar.self.DataCentre {
			registrar.startAsking(ctx, gateway.VM)
		}
	}
}

// startAsking asks one gateway unless it still owes an answer, so that a silent gateway does not delay
// the exchange with the others.
func (registrar *Registrar) startAsking(ctx context.Context, vm scheduler.VMName) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	known := registrar.peers[vm]
	if known == nil {
		known = newPeer()
		registrar.peers[vm] = known
	}
	if known.asking {
		return
	}
	known.asking = true
	question := exchangeAsk{Session: known.session, Sequence: known.sequence}
	registrar.asking.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, lifetime/3)
		defer cancel()
		registrar.ask(ctx, vm, known, question)
		registrar.mutex.Lock()
		defer registrar.mutex.Unlock()
		known.asking = false
	})
}

func (registrar *Registrar) ask(ctx context.Context, vm scheduler.VMName, known *peer, question exchangeAsk) {
	asked := time.Now()
	body, err := cbor.Marshal(question)
	if err != nil {
		return
	}
	reply, err := registrar.transport.Call(ctx, vm, scheduler.GroupName(registrar.self.DataCentre), kindAnnouncements, body)
	if err != nil {
		return
	}
	var news exchangeAnswer
	if err := cbor.Unmarshal(reply, &news); err != nil {
		registrar.log.Warn().Str("event", "exchangeUnreadable").Str("vm", string(vm)).Err(err).Msg("exchange answer unreadable")
		return
	}
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.takeOver(known, news, asked)
}

func newPeer() *peer {
	return &peer{numbers: map[uint64]scheduler.Announcement{}, seen: map[uint64]time.Time{}}
}

func (registrar *Registrar) takeOver(known *peer, news exchangeAnswer, asked time.Time) {
	if news.Session != known.session {
		fresh := newPeer()
		known.session, known.numbers, known.seen = news.Session, fresh.numbers, fresh.seen
	}
	known.sequence, known.answered = news.Sequence, time.Now()
	for _, full := range news.Full {
		known.numbers[full.Number] = full.Announcement
		registrar.mergeRemote(known, full.Number, full.Announcement, asked.Add(-age(full.Age)))
	}
	complete := readRenewals(news.Renewals, news.Gateways, func(number, units uint64, progress map[scheduler.GatewayID]int) bool {
		announcement, ok := known.numbers[number]
		if !ok {
			return false
		}
		if progress != nil {
			announcement.InProgress = progress
			known.numbers[number] = announcement
		}
		registrar.mergeRemote(known, number, announcement, asked.Add(-age(units)))
		return true
	})
	if !complete {
		// The numbers of the other gateway are not all known here: everything is asked for again.
		known.sequence = 0
	}
	for number, seen := range known.seen {
		if asked.Sub(seen) > 2*lifetime {
			delete(known.seen, number)
			delete(known.numbers, number)
		}
	}
}

func (registrar *Registrar) mergeRemote(known *peer, number uint64, announcement scheduler.Announcement, received time.Time) {
	known.seen[number] = received
	if time.Since(received) >= lifetime {
		return
	}
	if registrar.table.entries[announcement.Endpoint] == nil && len(registrar.table.entries) >= registrar.tableSize {
		return
	}
	registrar.table.merge(announcement, received)
}

func age(units uint64) time.Duration { return time.Duration(min(units, 1<<20)) * ageUnit }

// answerExchange handles the question of another gateway.
func (registrar *Registrar) answerExchange(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	var question exchangeAsk
	if err := cbor.Unmarshal(body, &question); err != nil {
		return nil, Error.New("read question: %v", err)
	}
	registrar.mutex.Lock()
	news := registrar.newsSince(question, time.Now())
	registrar.mutex.Unlock()
	reply, err := cbor.Marshal(news)
	if err != nil {
		return nil, Error.New("write answer: %v", err)
	}
	return reply, nil
}

func (registrar *Registrar) newsSince(question exchangeAsk, now time.Time) exchangeAnswer {
	since := question.Sequence
	if question.Session != registrar.incarnation {
		since = 0
	}
	news := exchangeAnswer{Session: registrar.incarnation, Sequence: max(since, registrar.table.sequence)}
	var changed, repeated []*entry
	for _, found := range registrar.table.entries {
		switch {
		case found.localSequence <= since || !found.localAlive(now):
		case found.contentSequence > since:
			changed = append(changed, found)
		default:
			repeated = append(repeated, found)
		}
	}
	// The cut is made by the sequence of the content: an entry that is left out then still counts as
	// changed in the next batch, even when it has been repeated in between.
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.contentSequence, b.contentSequence) })
	if len(changed) > batchLimit {
		changed = changed[:batchLimit]
		news.Sequence = changed[batchLimit-1].contentSequence
	}
	for _, found := range changed {
		news.Full = append(news.Full, numberedEntry{Number: found.number, Age: units(now, found), Announcement: found.announcement})
	}
	news.Renewals, news.Gateways = writeRenewals(repeated, since, now)
	return news
}

// units rounds up, so that an announcement never looks younger than it is.
func units(now time.Time, found *entry) uint64 {
	return uint64((now.Sub(found.local) + ageUnit - 1) / ageUnit)
}

// writeRenewals encodes entries as number difference, age with a flag, and, when the flag is set, the
// requests in progress as pairs of gateway and count. The differences need one or two bytes each.
func writeRenewals(entries []*entry, since uint64, now time.Time) ([]byte, []scheduler.GatewayID) {
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
	var out []byte
	var names []scheduler.GatewayID
	positions := map[scheduler.GatewayID]uint64{}
	last := uint64(0)
	for _, found := range entries {
		out = binary.AppendUvarint(out, found.number-last)
		last = found.number
		withProgress := found.progressSequence > since
		flag := uint64(0)
		if withProgress {
			flag = 1
		}
		out = binary.AppendUvarint(out, units(now, found)<<1|flag)
		if !withProgress {
			continue
		}
		out = binary.AppendUvarint(out, uint64(len(found.announcement.InProgress)))
		for _, gateway := range slices.Sorted(maps.Keys(found.announcement.InProgress)) {
			position, ok := positions[gateway]
			if !ok {
				position = uint64(len(names))
				positions[gateway] = position
				names = append(names, gateway)
			}
			out = binary.AppendUvarint(out, position)
			out = binary.AppendUvarint(out, uint64(found.announcement.InProgress[gateway]))
		}
	}
	return out, names
}

// readRenewals calls renew for each renewal; progress is nil when it has not changed. It returns
// false when the bytes are not well formed or renew returned false for one of them.
func readRenewals(in []byte, names []scheduler.GatewayID, renew func(number, units uint64, progress map[scheduler.GatewayID]int) bool) bool {
	complete, number := true, uint64(0)
	next := func() uint64 {
		value, size := binary.Uvarint(in)
		if size <= 0 {
			complete, in = false, nil
			return 0
		}
		in = in[size:]
		return value
	}
	for len(in) > 0 {
		number += next()
		aged := next()
		var progress map[scheduler.GatewayID]int
		if aged&1 == 1 {
			progress = map[scheduler.GatewayID]int{}
			for count := min(next(), gatewayLimit); count > 0; count-- {
				position, inProgress := next(), next()
				if position >= uint64(len(names)) {
					return false
				}
				progress[names[position]] = int(min(inProgress, connectionLimit))
			}
		}
		if in == nil {
			return complete
		}
		complete = renew(number, aged>>1, progress) && complete
	}
	return complete
}
