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
	// ageUnit is the resolution of the ages in exchange messages.
	ageUnit = 10 * time.Millisecond
	// peerTimeout is how long after its last response a gateway counts as connected.
	peerTimeout = 1500 * time.Millisecond
	// maxBatchSize is the maximum number of full announcements in a response. It bounds the size of the message
	// to a gateway that has just started; the remaining announcements follow in the next response.
	maxBatchSize = 1000
)

// exchangeRequest asks a gateway for the announcements that it received after Sequence in its incarnation Session.
type exchangeRequest struct {
	Session  scheduler.Incarnation `cbor:"s"`
	Sequence uint64                `cbor:"q"`
}

// exchangeResponse carries the full announcement of each endpoint whose content has changed, and Renewals, encoded by
// encodeRenewals, for the endpoints that only repeated their announcement. Ages are relative to the time of the
// response. Gateways is the table of names that the indexes in Renewals refer to.
type exchangeResponse struct {
	Session  scheduler.Incarnation  `cbor:"s"`
	Sequence uint64                 `cbor:"q"`
	Changed  []numberedAnnouncement `cbor:"f,omitempty"`
	Gateways []scheduler.GatewayID  `cbor:"g,omitempty"`
	Renewals []byte                 `cbor:"r,omitempty"`
}

type numberedAnnouncement struct {
	Number       uint64                 `cbor:"n"`
	Age          uint64                 `cbor:"g"`
	Announcement scheduler.Announcement `cbor:"a"`
}

// peerState is the state of the exchange with another gateway of the data centre. announcements and receivedAt are
// keyed by the number that the other gateway assigned to the endpoint.
type peerState struct {
	session       scheduler.Incarnation
	sequence      uint64
	announcements map[uint64]scheduler.Announcement
	receivedAt    map[uint64]time.Time
	lastResponse  time.Time
	exchanging    bool
}

// startExchanges requests the changes from every other gateway of the data centre. The requester subtracts ages from
// the time of its request, so a delayed response makes an announcement look older, never younger.
func (registrar *Registrar) startExchanges(ctx context.Context) {
	for _, gateway := range registrar.listGateways() {
		if gateway.VM != registrar.self.VM && gateway.DataCentre == registrar.self.DataCentre {
			registrar.startExchange(ctx, gateway.VM)
		}
	}
}

// startExchange sends a request to one gateway in the background, unless the previous request is still pending. A
// gateway that does not respond therefore does not delay the exchange with the others.
func (registrar *Registrar) startExchange(ctx context.Context, vm scheduler.VMName) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	peer := registrar.peers[vm]
	if peer == nil {
		peer = newPeer()
		registrar.peers[vm] = peer
	}
	if peer.exchanging {
		return
	}
	peer.exchanging = true
	request := exchangeRequest{Session: peer.session, Sequence: peer.sequence}
	registrar.exchanging.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, ttl/3)
		defer cancel()
		registrar.exchangeWith(ctx, vm, peer, request)
		registrar.mutex.Lock()
		defer registrar.mutex.Unlock()
		peer.exchanging = false
	})
}

func (registrar *Registrar) exchangeWith(ctx context.Context, vm scheduler.VMName, peer *peerState,
	request exchangeRequest,
) {
	requestTime := time.Now()
	body, err := cbor.Marshal(request)
	if err != nil {
		return
	}
	reply, err := registrar.transport.Call(ctx, vm, scheduler.GroupName(registrar.self.DataCentre),
		kindAnnouncements, body)
	if err != nil {
		return
	}
	var response exchangeResponse
	if err := cbor.Unmarshal(reply, &response); err != nil {
		registrar.log.Warn().Str("event", "exchangeUnreadable").Str("vm", string(vm)).Err(err).
			Msg("cannot decode exchange response")
		return
	}
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.applyResponse(peer, response, requestTime)
}

func newPeer() *peerState {
	return &peerState{announcements: map[uint64]scheduler.Announcement{}, receivedAt: map[uint64]time.Time{}}
}

func (registrar *Registrar) applyResponse(peer *peerState, response exchangeResponse, requestTime time.Time) {
	if response.Session != peer.session {
		empty := newPeer()
		peer.session, peer.announcements, peer.receivedAt = response.Session, empty.announcements, empty.receivedAt
	}
	peer.sequence, peer.lastResponse = response.Sequence, time.Now()
	for _, changed := range response.Changed {
		peer.announcements[changed.Number] = changed.Announcement
		registrar.mergeRemote(peer, changed.Number, changed.Announcement, requestTime.Add(-ageFromUnits(changed.Age)))
	}
	complete := decodeRenewals(response.Renewals, response.Gateways,
		func(number, units uint64, progress map[scheduler.GatewayID]int) bool {
			announcement, ok := peer.announcements[number]
			if !ok {
				return false
			}
			if progress != nil {
				announcement.InProgress = progress
				peer.announcements[number] = announcement
			}
			registrar.mergeRemote(peer, number, announcement, requestTime.Add(-ageFromUnits(units)))
			return true
		})
	if !complete {
		// Some numbers of the other gateway are unknown here, so the next request asks for all announcements.
		peer.sequence = 0
	}
	for number, receivedAt := range peer.receivedAt {
		if requestTime.Sub(receivedAt) > 2*ttl {
			delete(peer.receivedAt, number)
			delete(peer.announcements, number)
		}
	}
}

func (registrar *Registrar) mergeRemote(peer *peerState, number uint64, announcement scheduler.Announcement,
	received time.Time,
) {
	peer.receivedAt[number] = received
	if time.Since(received) >= ttl {
		return
	}
	if registrar.table.entries[announcement.Endpoint] == nil && len(registrar.table.entries) >= registrar.tableSize {
		return
	}
	registrar.table.merge(announcement, received)
}

func ageFromUnits(units uint64) time.Duration { return time.Duration(min(units, 1<<20)) * ageUnit }

// handleExchange responds to an exchangeRequest of another gateway.
func (registrar *Registrar) handleExchange(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	var request exchangeRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, Error.New("decode exchange request: %v", err)
	}
	registrar.mutex.Lock()
	response := registrar.changesSince(request, time.Now())
	registrar.mutex.Unlock()
	reply, err := cbor.Marshal(response)
	if err != nil {
		return nil, Error.New("encode exchange response: %v", err)
	}
	return reply, nil
}

func (registrar *Registrar) changesSince(request exchangeRequest, now time.Time) exchangeResponse {
	since := request.Sequence
	if request.Session != registrar.incarnation {
		since = 0
	}
	response := exchangeResponse{Session: registrar.incarnation, Sequence: max(since, registrar.table.sequence)}
	var changed, repeated []*entry
	for _, item := range registrar.table.entries {
		switch {
		case item.localSequence <= since || !item.isLiveLocally(now):
		case item.contentSequence > since:
			changed = append(changed, item)
		default:
			repeated = append(repeated, item)
		}
	}
	// The batch is truncated by contentSequence, so an entry that is left out still counts as changed in the next
	// batch, even if its announcement has been repeated in the meantime.
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.contentSequence, b.contentSequence) })
	if len(changed) > maxBatchSize {
		changed = changed[:maxBatchSize]
		response.Sequence = changed[maxBatchSize-1].contentSequence
	}
	for _, item := range changed {
		response.Changed = append(response.Changed, numberedAnnouncement{
			Number: item.number, Age: ageInUnits(now, item), Announcement: item.announcement,
		})
	}
	response.Renewals, response.Gateways = encodeRenewals(repeated, since, now)
	return response
}

// ageInUnits returns the age of an entry in units of ageUnit. It rounds up, so that an announcement never looks younger than it is.
func ageInUnits(now time.Time, item *entry) uint64 {
	return uint64((now.Sub(item.receivedLocally) + ageUnit - 1) / ageUnit)
}

// encodeRenewals encodes each entry as varints: the difference to the previous number, the age shifted left by one
// with a flag in the lowest bit, and, if the flag is set, the requests in progress as pairs of gateway index and
// count. The differences take one or two bytes each. It also returns the gateway names that the indexes refer to.
func encodeRenewals(entries []*entry, since uint64, now time.Time) ([]byte, []scheduler.GatewayID) {
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
	var encoded []byte
	var names []scheduler.GatewayID
	positions := map[scheduler.GatewayID]uint64{}
	last := uint64(0)
	for _, item := range entries {
		encoded = binary.AppendUvarint(encoded, item.number-last)
		last = item.number
		withProgress := item.progressSequence > since
		flag := uint64(0)
		if withProgress {
			flag = 1
		}
		encoded = binary.AppendUvarint(encoded, ageInUnits(now, item)<<1|flag)
		if !withProgress {
			continue
		}
		encoded = binary.AppendUvarint(encoded, uint64(len(item.announcement.InProgress)))
		for _, gateway := range slices.Sorted(maps.Keys(item.announcement.InProgress)) {
			position, ok := positions[gateway]
			if !ok {
				position = uint64(len(names))
				positions[gateway] = position
				names = append(names, gateway)
			}
			encoded = binary.AppendUvarint(encoded, position)
			encoded = binary.AppendUvarint(encoded, uint64(item.announcement.InProgress[gateway]))
		}
	}
	return encoded, names
}

// decodeRenewals calls renew for each renewal; progress is nil if it has not changed. It returns false if the encoding
// is malformed or renew returned false for a renewal.
func decodeRenewals(encoded []byte, names []scheduler.GatewayID,
	renew func(number, units uint64, progress map[scheduler.GatewayID]int) bool,
) bool {
	complete, number := true, uint64(0)
	nextValue := func() uint64 {
		value, size := binary.Uvarint(encoded)
		if size <= 0 {
			complete, encoded = false, nil
			return 0
		}
		encoded = encoded[size:]
		return value
	}
	for len(encoded) > 0 {
		number += nextValue()
		ageAndFlag := nextValue()
		var progress map[scheduler.GatewayID]int
		if ageAndFlag&1 == 1 {
			progress = map[scheduler.GatewayID]int{}
			for count := min(nextValue(), maxGateways); count > 0; count-- {
				position, inProgress := nextValue(), nextValue()
				if position >= uint64(len(names)) {
					return false
				}
				progress[names[position]] = int(min(inProgress, maxConnections))
			}
		}
		if encoded == nil {
			return complete
		}
		complete = renew(number, ageAndFlag>>1, progress) && complete
	}
	return complete
}
