package peering

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// earlierUpdate is the Update of the build before relayed reports.
type earlierUpdate struct {
	News    *News
	Store   StoreNews
	Retries RetryNews
	Parts   []PartSuspicion `cbor:",omitempty"`
	Faults  FaultNews
	Reach   ReachNews
}

// TestUpdateOfEarlierBuilds guards against fields that a build without relayed reports
// cannot decode, and against one of its messages that this build cannot.
func TestUpdateOfEarlierBuilds(t *testing.T) {
	news := &News{Version: Version, Address: Address{Gateway: "g", Address: "g:1"}, Loads: []UpstreamLoad{{Upstream: "e", Requests: 3}}}
	news.Relay = RelayNews{Supported: true, Reporter: true, Wanted: true, Sequence: 7, Held: []HeldReport{{Zone: "b", Milliseconds: 500}}, Reports: []ZoneReport{{Zone: "b", Sender: "b:1", Packed: []byte{1}}}}
	encoded, err := cbor.Marshal(NewUpdate(news))
	qt.Assert(t, err, qt.IsNil)
	var earlier earlierUpdate
	qt.Assert(t, cbor.Unmarshal(encoded, &earlier), qt.IsNil)
	qt.Check(t, earlier.News.Loads, qt.DeepEquals, news.Loads)
	var update Update
	qt.Assert(t, cbor.Unmarshal(encoded, &update), qt.IsNil)
	qt.Check(t, update.Check(), qt.IsNil)
	qt.Check(t, update.Unwrap().Relay, qt.DeepEquals, news.Relay)

	encoded, err = cbor.Marshal(&earlierUpdate{News: news, Reach: ReachNews{Tunnels: true, Busy: 2}})
	qt.Assert(t, err, qt.IsNil)
	update = Update{}
	qt.Assert(t, cbor.Unmarshal(encoded, &update), qt.IsNil)
	qt.Check(t, update.Check(), qt.IsNil)
	qt.Check(t, update.Unwrap().Relay, qt.DeepEquals, RelayNews{})
	qt.Check(t, update.Reach, qt.Equals, ReachNews{Tunnels: true, Busy: 2})
}

// TestInvalidReportCostsNoMessage guards against faults and versions that are lost with a
// message because a report in it is invalid.
func TestInvalidReportCostsNoMessage(t *testing.T) {
	news := &News{Version: Version, Address: Address{Gateway: "g", Address: "g:1"}}
	news.Relay.Reports = []ZoneReport{{Age: -1}}
	qt.Check(t, NewUpdate(news).Check(), qt.IsNil)
	qt.Check(t, news.Relay.Reports[0].Check(), qt.IsNotNil)
	news.Relay.Reports = make([]ZoneReport, MaxListItems+1)
	qt.Check(t, NewUpdate(news).Check(), qt.IsNotNil)
}

// TestZoneLoadSurvivesPacking guards against loads that packing changes, and checks that
// it halves them.
func TestZoneLoadSurvivesPacking(t *testing.T) {
	l := &ZoneLoad{Reach: time.Minute, Services: []ServiceCounts{{Service: "s", Requests: 3, Repeats: 1}}, Pipes: []PipeUse{{Service: "s", Pipe: "a b", Reading: 2.5}}}
	for _, name := range []string{"", "a-engine-1", "a-engine-10", "a-engine-2", "b", "b-engine-1"} {
		l.Loads = append(l.Loads, UpstreamLoad{Upstream: name, Requests: len(name), Begun: 1, TokenLayers: 1e7 / 3, Reading: 12345.678})
	}
	l.Demand.Services = []ServiceDemand{{Service: "s", DispatchRate: 2, Classes: []ClassDemand{{Account: "a", Accounts: 1, Used: 3}}}}
	packed, err := l.Pack()
	qt.Assert(t, err, qt.IsNil)
	got, err := (&ZoneReport{Packed: packed}).Unpack()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.Demand.Services, qt.DeepEquals, l.Demand.Services)
	got.Demand, l.Demand = DemandNews{}, DemandNews{}
	qt.Check(t, *got, qt.CmpEquals(cmp.AllowUnexported(DemandNews{})), *l)

	var many ZoneLoad
	for i := range 90 {
		many.Loads = append(many.Loads, UpstreamLoad{Upstream: fmt.Sprintf("zone-%d-engine-%d", i%3, i/3), Requests: 3, TokenLayers: 30000})
	}
	plain, err := cbor.Marshal(many.Loads)
	qt.Assert(t, err, qt.IsNil)
	packed, err = many.Pack()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(packed) < len(plain)/2, qt.IsTrue, qt.Commentf("%d of %d bytes", len(packed), len(plain)))
}

// TestImpossibleReports guards against reports that change a load to an impossible one, or
// that take much more memory than bytes on the wire.
func TestImpossibleReports(t *testing.T) {
	for name, change := range map[string]func(p *packedZoneLoad){
		"shared with nothing":  func(p *packedZoneLoad) { p.Loads[0].Shared = 1 },
		"negative":             func(p *packedZoneLoad) { p.Loads[1].Shared = -1 },
		"shared too long":      func(p *packedZoneLoad) { p.Loads[1].Shared = 4 },
		"long name":            func(p *packedZoneLoad) { p.Loads[0].Rest = strings.Repeat("e", maxNameBytes+1) },
		"negative requests":    func(p *packedZoneLoad) { p.Loads[1].Requests = -1 },
		"no number":            func(p *packedZoneLoad) { p.Loads[1].TokenLayers = float32(math.NaN()) },
		"infinite":             func(p *packedZoneLoad) { p.Loads[1].Reading = float32(math.Inf(1)) },
		"negative rate":        func(p *packedZoneLoad) { p.Pipes[0].Reading = -2 },
		"no number of retries": func(p *packedZoneLoad) { p.Services[0].Repeats = float32(math.NaN()) },
		"negative reach":       func(p *packedZoneLoad) { p.Reach = -1 },
		"too many":             func(p *packedZoneLoad) { p.Loads = make([]packedLoad, MaxListItems+1) },
	} {
		t.Run(name, func(t *testing.T) {
			p := &packedZoneLoad{Loads: []packedLoad{{Rest: "abc"}, {Shared: 2, Rest: "d"}}, Pipes: []PipeUse{{}}, Services: []ServiceCounts{{}}}
			encoded, err := cbor.Marshal(p)
			qt.Assert(t, err, qt.IsNil)
			got, err := (&ZoneReport{Packed: encoded}).Unpack()
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, got.Loads[1].Upstream, qt.Equals, "abd")
			change(p)
			encoded, err = cbor.Marshal(p)
			qt.Assert(t, err, qt.IsNil)
			_, err = (&ZoneReport{Packed: encoded}).Unpack()
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}

// FuzzZoneReport guards against reports that crash their receiver or pass its checks with
// an impossible load.
func FuzzZoneReport(f *testing.F) {
	packed, err := (&ZoneLoad{Loads: []UpstreamLoad{{Upstream: "e-1", Requests: 1}, {Upstream: "e-2", Requests: 2}}}).Pack()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Fuzz(func(t *testing.T, packed []byte) {
		l, err := (&ZoneReport{Packed: packed}).Unpack()
		if err != nil {
			return
		}
		if len(l.Loads) > MaxListItems || l.Check() != nil {
			t.Fatalf("unpacked an invalid load %+v", l)
		}
	})
}
