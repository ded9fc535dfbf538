package peering

import (
	"errors"
	"math"
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

// DemandNews is the demand for services at a gateway, or in a zone.
type DemandNews struct {
	Services []ServiceDemand `cbor:",omitempty"`
}

// ServiceDemand is the demand for a service at a gateway, or in a zone.
type ServiceDemand struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// DispatchRate is the number of requests per second that leave the queues with a
	// target; 0 if unknown.
	DispatchRate float32
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
	// Used is the cost of the requests in flight, and Wanted that of those that
	// wait or were recently refused for lack of room.
	Used, Wanted float32
}

// Check returns an error if d exceeds a limit or holds an impossible value. Update does
// not check it, so that an invalid demand does not cost the rest of the message.
func (d *DemandNews) Check() error {
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
	if s.Service == "" || !isAmount(s.DispatchRate) {
		return errors.New("peering: demand without service or with an impossible rate")
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
