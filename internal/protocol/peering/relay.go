package peering

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// RelayNews is what a gateway tells of the reports that are relayed within zones. Its keys
// are numbers since every message carries it.
//
// A zone's load reaches the others through its reporters. All other calls between zones
// are heartbeats: News without Loads, Services, Pipes and Demand whose OfZone is false,
// which no build reads as a report without load.
type RelayNews struct {
	// Supported reports whether the sender's build relays reports. A peer that does not
	// say so gets the sums of the sender's zone in each message.
	Supported bool `cbor:"1,keyasint,omitempty"`
	// Reporter reports whether the sender reports for its zone.
	Reporter bool `cbor:"2,keyasint,omitempty"`
	// Wanted asks a gateway of another zone to answer with the sums of its zone, since
	// the sender has no recent report of it.
	Wanted bool `cbor:"3,keyasint,omitempty"`
	// Sequence orders the reports of one sender. It is set if the message holds the sums
	// of the sender's zone.
	Sequence int64 `cbor:"4,keyasint,omitempty"`
	// Held tells a gateway of the same zone which reports the sender holds.
	Held []HeldReport `cbor:"5,keyasint,omitempty"`
	// Reports are the reports of other zones that are newer than those in Held of the
	// call that is answered.
	Reports []ZoneReport `cbor:"6,keyasint,omitempty"`
}

// HeldReport tells how old the newest report of a zone is that a gateway holds.
type HeldReport struct {
	_            struct{} `cbor:",toarray"`
	Zone         string
	Milliseconds int64
}

// ZoneReport is the load of a zone as one of its gateways has reported it.
type ZoneReport struct {
	// Zone is the zone, and Sender the address of its gateway.
	Zone, Sender string
	// Sequence orders the reports of the sender; 0 if its build has none.
	Sequence int64 `cbor:",omitempty"`
	// Age is the time since the report was made. It accumulates over hops.
	Age time.Duration
	// Packed is the ZoneLoad, see [ZoneLoad.Pack].
	Packed []byte
}

// ZoneLoad is the load of a zone.
type ZoneLoad struct {
	// Reach is how far back the counts in Services go, as in [RetryNews].
	Reach    time.Duration
	Loads    []UpstreamLoad
	Services []ServiceCounts
	Pipes    []PipeUse
	Demand   DemandNews
}

// check returns an error if r exceeds a limit. Update does not check the reports in it,
// so that an invalid one does not cost the rest of the message.
func (r *RelayNews) check() error {
	if len(r.Held) > MaxListItems || len(r.Reports) > MaxListItems {
		return errors.New("peering: too many reports of zones")
	}
	return nil
}

// Check returns an error if r lacks its zone or sender or has a negative age.
func (r *ZoneReport) Check() error {
	switch {
	case r.Zone == "" || r.Sender == "":
		return errors.New("peering: report without zone or sender")
	case r.Age < 0 || r.Sequence < 0:
		return errors.New("peering: report with a negative age or sequence")
	}
	return nil
}

// Check returns an error if l exceeds a limit or holds an impossible value, except in
// Demand.
func (l *ZoneLoad) Check() error {
	switch {
	case l.Reach < 0:
		return errors.New("peering: report with a negative reach")
	case len(l.Loads) > MaxListItems || len(l.Services) > MaxListItems || len(l.Pipes) > MaxListItems:
		return errors.New("peering: report of too many upstreams, services or links")
	}
	for _, u := range l.Loads {
		if u.Requests < 0 || u.Begun < 0 || !isSum(u.TokenLayers) || !isSum(u.Reading) {
			return errors.New("peering: report with an impossible load")
		}
	}
	for _, c := range l.Services {
		if !isSum(c.Requests) || !isSum(c.Repeats) {
			return errors.New("peering: report with impossible counts")
		}
	}
	for _, p := range l.Pipes {
		if !isSum(p.Reading) {
			return errors.New("peering: report with an impossible rate")
		}
	}
	return nil
}

// isSum reports whether v may be a sum of amounts. Sums that are updated by differences
// may be a little below 0.
func isSum(v float32) bool { return v > -1 && !math.IsInf(float64(v), 1) }

// packedZoneLoad is the encoded form of ZoneLoad, a map to which fields may be added.
type packedZoneLoad struct {
	Reach    time.Duration   `cbor:",omitempty"`
	Loads    []packedLoad    `cbor:",omitempty"`
	Services []ServiceCounts `cbor:",omitempty"`
	Pipes    []PipeUse       `cbor:",omitempty"`
	Demand   DemandNews      `cbor:",omitempty"`
}

// packedLoad is an UpstreamLoad in a list ordered by upstream. Names of upstreams, half of
// the bytes of a report, are much alike.
type packedLoad struct {
	_ struct{} `cbor:",toarray"`
	// Shared is the number of bytes that the name begins with as that of the previous
	// load does, and Rest is the rest of the name.
	Shared               int
	Rest                 string
	Requests, Begun      int
	TokenLayers, Reading float32
}

// packing encodes numbers as short as they allow.
var packing = newPacking()

// newPacking returns the encoding of ZoneLoad. It panics on invalid options, which are
// constant.
func newPacking() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Pack encodes l. Gateways pass the result on as it is within their zone.
func (l *ZoneLoad) Pack() ([]byte, error) {
	p := packedZoneLoad{Reach: l.Reach, Services: l.Services, Pipes: l.Pipes, Demand: l.Demand}
	loads := slices.Clone(l.Loads)
	slices.SortFunc(loads, func(a, b UpstreamLoad) int { return cmp.Compare(a.Upstream, b.Upstream) })
	previous := ""
	for _, u := range loads {
		shared := sharedPrefix(previous, u.Upstream)
		p.Loads = append(p.Loads, packedLoad{Shared: shared, Rest: u.Upstream[shared:], Requests: u.Requests, Begun: u.Begun, TokenLayers: u.TokenLayers, Reading: u.Reading})
		previous = u.Upstream
	}
	encoded, err := packing.Marshal(&p)
	if err != nil {
		return nil, fmt.Errorf("peering: %w", err)
	}
	return encoded, nil
}

// sharedPrefix returns the length of the longest common prefix of a and b.
func sharedPrefix(a, b string) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// maxNameBytes bounds the name of an upstream in a report, so that a short report cannot
// hold many long names.
const maxNameBytes = 256

// Unpack returns the load that r holds. It returns an error if that is invalid.
func (r *ZoneReport) Unpack() (*ZoneLoad, error) {
	var p packedZoneLoad
	if err := cbor.Unmarshal(r.Packed, &p); err != nil {
		return nil, fmt.Errorf("peering: %w", err)
	}
	l := &ZoneLoad{Reach: p.Reach, Services: p.Services, Pipes: p.Pipes, Demand: p.Demand}
	if len(p.Loads) > MaxListItems {
		return nil, errors.New("peering: report of too many upstreams")
	}
	previous := ""
	for _, u := range p.Loads {
		if u.Shared < 0 || u.Shared > len(previous) || u.Shared+len(u.Rest) > maxNameBytes {
			return nil, errors.New("peering: report with an impossible name")
		}
		previous = previous[:u.Shared] + u.Rest
		l.Loads = append(l.Loads, UpstreamLoad{Upstream: previous, Requests: u.Requests, Begun: u.Begun, TokenLayers: u.TokenLayers, Reading: u.Reading})
	}
	if err := l.Check(); err != nil {
		return nil, err
	}
	return l, nil
}
