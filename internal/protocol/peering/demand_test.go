package peering

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

func testDemand() DemandNews {
	return DemandNews{Services: []ServiceDemand{{
		Service: "s", DispatchRate: 2, Scarcity: 1.5,
		Classes: []ClassDemand{{Account: "a", Priority: 5, Accounts: 1, Waiting: 3, Used: 100, Wanted: 50}, {Priority: 9, Accounts: 20, Used: 7}},
	}}}
}

// TestDemandIsSent guards against the loss of a part of the demand on its way.
func TestDemandIsSent(t *testing.T) {
	news := &News{Version: Version, Address: Address{Gateway: "g", Address: "g:1"}, Demand: testDemand()}
	encoded, err := cbor.Marshal(NewUpdate(news))
	qt.Assert(t, err, qt.IsNil)
	var update Update
	qt.Assert(t, cbor.Unmarshal(encoded, &update), qt.IsNil)
	got := update.Unwrap().Demand
	qt.Check(t, got.Services, qt.CmpEquals(), testDemand().Services)
	qt.Check(t, got.Check(), qt.IsNil)
	later := got.After(time.Second)
	qt.Check(t, later.Services[0].Scarcity, qt.Equals, float32(0.5))
	qt.Check(t, got.Services[0].Scarcity, qt.Equals, float32(1.5))
	later = got.After(2 * time.Second)
	qt.Check(t, later.Services[0].Scarcity, qt.Equals, float32(0))
}

// TestInvalidDemand guards against an invalid demand that counts, or that costs the rest
// of the message.
func TestInvalidDemand(t *testing.T) {
	change := func(f func(s *ServiceDemand)) any {
		d := testDemand()
		f(&d.Services[0])
		return d
	}
	class := func(f func(c *ClassDemand)) any { return change(func(s *ServiceDemand) { f(&s.Classes[0]) }) }
	inf := float32(math.Inf(1))
	for name, demand := range map[string]any{
		"text":               "demand",
		"list":               []int{1, 2},
		"truncated service":  map[string]any{"Services": []any{[]any{"s", 1.0}}},
		"truncated class":    map[string]any{"Services": []any{[]any{"s", 1.0, 1.0, []any{[]any{"a"}}}}},
		"text as rate":       map[string]any{"Services": []any{[]any{"s", "fast", 1.0, []any{}}}},
		"no service":         change(func(s *ServiceDemand) { s.Service = "" }),
		"negative rate":      change(func(s *ServiceDemand) { s.DispatchRate = -1 }),
		"rate not a number":  change(func(s *ServiceDemand) { s.DispatchRate = float32(math.NaN()) }),
		"endless scarcity":   change(func(s *ServiceDemand) { s.Scarcity = inf }),
		"too many classes":   change(func(s *ServiceDemand) { s.Classes = make([]ClassDemand, MaxDemandClasses+maxPriority+2) }),
		"too many services":  DemandNews{Services: make([]ServiceDemand, MaxDemandServices+1)},
		"negative priority":  class(func(c *ClassDemand) { c.Priority = -1 }),
		"priority above 9":   class(func(c *ClassDemand) { c.Priority = 10 }),
		"no accounts":        class(func(c *ClassDemand) { c.Accounts = 0 }),
		"negative use":       class(func(c *ClassDemand) { c.Used = -1 }),
		"use not a number":   class(func(c *ClassDemand) { c.Used = float32(math.NaN()) }),
		"endless want":       class(func(c *ClassDemand) { c.Wanted = inf }),
		"negative waiting":   class(func(c *ClassDemand) { c.Waiting = -1 }),
		"account that is no": map[string]any{"Services": []any{[]any{"s", 1.0, 1.0, []any{[]any{7, 1, 1, 1.0, 1.0, 1.0}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			news := &News{Version: Version, Address: Address{Gateway: "g", Address: "g:1"}}
			encoded, err := cbor.Marshal(map[string]any{"News": news, "Store": StoreNews{Era: 2}, "Demand": demand})
			c.Assert(err, qt.IsNil)
			var update Update
			c.Assert(cbor.Unmarshal(encoded, &update), qt.IsNil)
			c.Check(update.Check(), qt.IsNil)
			got := update.Unwrap()
			c.Check(got.Store.Era, qt.Equals, int64(2))
			c.Check(got.Demand.Check(), qt.IsNotNil)
		})
	}
}

// TestDemandOfEarlierBuilds guards against a message without demand that is refused, and
// against a demand that is left from an earlier message.
func TestDemandOfEarlierBuilds(t *testing.T) {
	c := qt.New(t)
	news := &News{Version: Version, Address: Address{Gateway: "g", Address: "g:1"}}
	encoded, err := cbor.Marshal(map[string]any{"News": news, "Store": StoreNews{}})
	c.Assert(err, qt.IsNil)
	var update Update
	c.Assert(cbor.Unmarshal(encoded, &update), qt.IsNil)
	c.Check(update.Check(), qt.IsNil)
	got := update.Unwrap()
	c.Check(got.Demand.Services, qt.HasLen, 0)
	c.Check(got.Demand.Check(), qt.IsNil)
	bad := DemandNews{}
	c.Assert(bad.UnmarshalCBOR([]byte{0x61, 'x'}), qt.IsNil)
	c.Assert(bad.Check(), qt.IsNotNil)
	c.Assert(bad.UnmarshalCBOR([]byte{0xa0}), qt.IsNil)
	c.Check(bad.Check(), qt.IsNil)
}
