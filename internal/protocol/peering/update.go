package peering

import (
	"errors"
	"time"

	"lovageport.example/internal/state/fleet"
)

// Update is the message in which gateways exchange [News]. It is encoded as a map,
// in which a receiver ignores the fields that it does not know, so fields may be
// added to it, and fields without value are left out. The elements of News itself are
// fixed, since builds that do not know Update exchange them alone.
type Update struct {
	News    *News
	Store   StoreNews
	Retries RetryNews
	Parts   []PartSuspicion `cbor:",omitempty"`
	Faults  FaultNews       `cbor:",omitempty"`
	Reach   ReachNews       `cbor:",omitempty"`
	Demand  DemandNews      `cbor:",omitempty"`
	Relay   RelayNews       `cbor:",omitempty"`
	Limits  LimitNews       `cbor:",omitempty"`
}

// NewUpdate returns the message that carries n.
func NewUpdate(n *News) *Update {
	return &Update{News: n, Store: n.Store, Retries: n.Retries, Parts: n.Parts, Faults: n.FaultNews, Reach: n.Reach, Demand: n.Demand, Relay: n.Relay, Limits: n.Limits}
}

// Unwrap returns the news with what the message carries beside it. u.News must not be
// nil.
func (u *Update) Unwrap() *News {
	u.News.Store, u.News.Retries, u.News.Parts, u.News.FaultNews, u.News.Reach, u.News.Demand = u.Store, u.Retries, u.Parts, u.Faults, u.Reach, u.Demand
	u.News.Relay, u.News.Limits = u.Relay, u.Limits
	return u.News
}

// Check returns an error if u has no valid news or exceeds a limit.
func (u *Update) Check() error {
	switch {
	case u.News == nil:
		return errors.New("peering: update without news")
	case u.Store.Era < 0 || u.Store.ListEra < 0:
		return errors.New("peering: negative era")
	case len(u.Store.Withheld) > MaxListItems:
		return errors.New("peering: too many withheld upstreams")
	case u.Retries.Reach < 0 || len(u.Retries.Known) > MaxListItems:
		return errors.New("peering: negative reach or too many services")
	case len(u.Parts) > MaxListItems:
		return errors.New("peering: too many parts")
	}
	if err := u.Reach.Check(); err != nil {
		return err
	}
	if err := u.Faults.check(); err != nil {
		return err
	}
	if err := u.Relay.check(); err != nil {
		return err
	}
	for i := range u.Parts {
		if err := u.Parts[i].check(); err != nil {
			return err
		}
	}
	return u.News.Check()
}

// StoreNews is what a gateway knows about restorations of the platform's store.
type StoreNews struct {
	// Era is the latest era of the store that the sender knows; 0 if it knows
	// none.
	Era int64
	// EraAge is the time since the era was first seen after an earlier one;
	// negative if no earlier one is known.
	EraAge time.Duration
	// ListEra is the era of News.ListRevision.
	ListEra int64
	// Withheld are the upstreams that the store lists as serving although they
	// were seen draining or removed before it was restored.
	Withheld []fleet.Incarnation `cbor:",omitempty"`
}

// FaultNews is what a gateway tells of the faults in its news.
type FaultNews struct {
	// Own reports whether the sender gets no answer from several upstreams at once,
	// so that the fault is probably its own and its faults count for nothing.
	Own bool `cbor:",omitempty"`
	// Seen belongs to News.Faults, in the same order. It is empty if the sender's
	// build does not know it.
	Seen []SeenFault `cbor:",omitempty"`
}

// SeenFault is how a gateway has seen a fault of an upstream.
type SeenFault struct {
	_ struct{} `cbor:",toarray"`
	// Age is the time since the upstream last had the fault.
	Age time.Duration
	// Answered reports whether the fault is an answer of the upstream, as when it
	// lacks room.
	Answered bool
}

// check returns an error if f has a negative age or exceeds a limit.
func (f *FaultNews) check() error {
	if len(f.Seen) > MaxListItems {
		return errors.New("peering: too many faults")
	}
	for _, seen := range f.Seen {
		if seen.Age < 0 {
			return errors.New("peering: fault with a negative age")
		}
	}
	return nil
}

// RetryNews is what a gateway tells of the counts in its news.
type RetryNews struct {
	// Reach is how far back the counts go: the gateway knows of nothing that was
	// sent before its start. 0 if its build does not say.
	Reach time.Duration
	// Known holds the retries of all gateways within the window, as far as the
	// sender knows, for gateways that have just started. A gateway that has itself
	// just started sends it only if others have told it what was before.
	Known []ServiceRetries `cbor:",omitempty"`
}

// ServiceRetries is the number of retries of a service within the window of the
// retry allowance.
type ServiceRetries struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Retries float32
}

// PartSuspicion is a part of prompts that may crash the engines that answer them.
type PartSuspicion struct {
	_    struct{} `cbor:",toarray"`
	Part string
	// Crashes are those since the part's last success.
	Crashes []PartCrash
	// ClearedAge is the time since that success; negative if none is known.
	ClearedAge time.Duration
	// Blamed reports whether attempts without the part got through where it crashed
	// engines.
	Blamed bool
}

// PartCrash is an attempt that ended, with the engine that ran it, before it had
// answered anything.
type PartCrash struct {
	_ struct{} `cbor:",toarray"`
	// Attempt identifies the attempt among those of all gateways.
	Attempt string
	// Age is the time since its end, and Took how long it ran.
	Age, Took time.Duration
}

// check returns an error if s lacks its part, has a negative age, or exceeds a limit.
func (s *PartSuspicion) check() error {
	if s.Part == "" || len(s.Crashes) > MaxListItems {
		return errors.New("peering: suspicion without part or with too many crashes")
	}
	for _, c := range s.Crashes {
		if c.Age < 0 || c.Took < 0 {
			return errors.New("peering: crash with a negative time")
		}
	}
	return nil
}
