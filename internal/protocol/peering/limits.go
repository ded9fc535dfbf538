package peering

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxLimitAge is the age above which the limit of an upstream is invalid. Limits lapse
// much earlier.
const maxLimitAge = time.Hour

// LimitNews are the rates that upstreams take from all gateways together. Its key is a
// number since every message carries it while an upstream has a limit.
type LimitNews struct {
	Upstreams []UpstreamLimit `cbor:"1,keyasint,omitempty"`

	// invalid is the error of limits that could not be decoded.
	invalid error
}

// UpstreamLimit is what a gateway knows of the limit of an upstream.
type UpstreamLimit struct {
	_ struct{} `cbor:",toarray"`
	// Upstream and Started identify the incarnation.
	Upstream string
	Started  int64
	// Rate is the rate in requests per second; if Lifted is set, the last one that the
	// upstream stated before it stated none.
	Rate   float32
	Lifted bool
	// Age is the time since the upstream has stated that, at the most. It accumulates
	// over hops.
	Age time.Duration
}

// UnmarshalCBOR decodes limits. Those of another structure do not cost the rest of the
// message: [LimitNews.Check] returns the error.
func (l *LimitNews) UnmarshalCBOR(data []byte) error {
	var decoded struct {
		Upstreams []UpstreamLimit `cbor:"1,keyasint,omitempty"`
	}
	*l = LimitNews{}
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		l.invalid = fmt.Errorf("peering: limits: %w", err)
		return nil
	}
	l.Upstreams = decoded.Upstreams
	return nil
}

// Check returns an error if l exceeds a limit or holds an impossible value. Update does
// not check it, so that invalid limits do not cost the rest of the message.
func (l *LimitNews) Check() error {
	if l.invalid != nil {
		return l.invalid
	}
	if len(l.Upstreams) > MaxListItems {
		return errors.New("peering: limits of too many upstreams")
	}
	for i := range l.Upstreams {
		u := &l.Upstreams[i]
		if u.Upstream == "" || !isAmount(u.Rate) || u.Age < 0 || u.Age > maxLimitAge {
			return errors.New("peering: limit without upstream or with an impossible value")
		}
	}
	return nil
}
