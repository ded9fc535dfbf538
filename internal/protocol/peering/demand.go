package peering

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the demand that a message reports.
const (
	// MaxDemandServices bounds the services.
	MaxDemandServices = 64
	// MaxDemandClasses bounds the classes of a service that are named. The others are
	// summed by priority, so that the size does not grow with the number of accounts.
	MaxDemandClasses = 32
	// maxPriority is the least urgent priority.
	maxPriority = 9
)

// DemandNews is the demand for services at a gateway, or in a zone. Only services for
// which requests lacked room in the last seconds are named, and none by gateways that do
// not divide capacity across gateways.
type DemandNews struct {
	Services []ServiceDemand `cbor:",omitempty"`

	// invalid is the error of a demand that could not be decoded.
	invalid error
}

// UnmarshalCBOR decodes a demand. One of another structure does not cost the rest of
// the message: [DemandNews.Check] returns the error.
func (d *DemandNews) UnmarshalCBOR(data []byte) error {
	var decoded struct {
		Services []ServiceDemand
	}
	*d = DemandNews{}
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		d.invalid = fmt.Errorf("peering: demand: %w", err)
		return nil
	}
	d.Services = decoded.Services
	return nil
}

// ServiceDemand is the demand for a service at a gateway, or in a zone.
type ServiceDemand struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// DispatchRate is the number of requests per second that leave the queues with a
	// target; 0 if unknown.
	DispatchRate float32
	// Scarcity is the remaining number of seconds for which the service counts as
	// short of room, since a request lacked it; 0 if it does not.
	Scarcity float32
	// Classes are the classes with the largest demand. For each priority at most one
	// more element without account holds the sum of its other classes.
	Classes []ClassDemand
}

// ClassDemand is the demand of an account at a priority. Costs are in tokens for
// generations, in requests for calls of plain services.
type ClassDemand struct {
	_ struct{} `cbor:",toarray"`
	// Account is empty in a sum over several accounts.
	Account string
	// Priority is 0 for the most urgent requests, 9 for the least.
	Priority int
	// Accounts is the number of accounts in a sum; 1 if the account is named.
	Accounts int
	// Waiting is the number of queued requests.
	Waiting float32
	// Used is the cost of the requests in flight, and Wanted the demand of the last
	// seconds above that: the cost of requests that wait, were recently refused for
	// lack of room, or have recently ended.
	Used, Wanted float32
}

// After returns the demand as it is sent a time after it was computed.
func (d *DemandNews) After(elapsed time.Duration) DemandNews {
	out := DemandNews{Services: slices.Clone(d.Services), invalid: d.invalid}
	for i := range out.Services {
		s := &out.Services[i]
		s.Scarcity = max(0, s.Scarcity-float32(elapsed.Seconds()))
	}
	return out
}

// Check returns an error if d exceeds a limit or holds an impossible value. Update does
// not check it, so that an invalid demand does not cost the rest of the message.
func (d *DemandNews) Check() error {
	if d.invalid != nil {
		return d.invalid
	}
	if len(d.Services) > MaxDemandServices {
		return errors.New("peering: demand for too many services")
	}
	for i := range d.Services {
		if err := d.Services[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *ServiceDemand) check() error {
	if s.Service == "" || !isAmount(s.DispatchRate) || !isAmount(s.Scarcity) {
		return errors.New("peering: demand without service or with an impossible amount")
	}
	if len(s.Classes) > MaxDemandClasses+maxPriority+1 {
		return errors.New("peering: demand of too many classes")
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Priority < 0 || c.Priority > maxPriority || c.Accounts < 1 {
			return errors.New("peering: demand of an impossible class")
		}
		if !isAmount(c.Waiting) || !isAmount(c.Used) || !isAmount(c.Wanted) {
			return errors.New("peering: impossible demand")
		}
	}
	return nil
}

// isAmount reports whether v is a finite number that is not negative.
func isAmount(v float32) bool { return v >= 0 && !math.IsInf(float64(v), 1) }
