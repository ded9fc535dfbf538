package peering

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"lovageport.example/internal/state/fleet"
)

// newsElements is the number of elements of encoded News. Builds that do not know
// Update decode exactly so many.
const newsElements = 21

// TestNewsOfEarlierBuilds guards against a field of News that earlier builds cannot
// decode, and against the loss of what Update carries beside it.
func TestNewsOfEarlierBuilds(t *testing.T) {
	news := &News{Version: Version, Address: Address{Gateway: "g", Address: "g:1"}}
	news.Store = StoreNews{Era: 2, ListEra: 2, Withheld: []fleet.Incarnation{{Instance: "e", Started: 1}}}
	encoded, err := cbor.Marshal(news)
	qt.Assert(t, err, qt.IsNil)
	var elements []any
	qt.Assert(t, cbor.Unmarshal(encoded, &elements), qt.IsNil)
	qt.Check(t, elements, qt.HasLen, newsElements)

	news.Retries = RetryNews{Reach: time.Second, Known: []ServiceRetries{{Service: "s", Retries: 3}}}
	news.Parts = []PartSuspicion{{Part: "p", Crashes: []PartCrash{{Attempt: "a", Age: time.Second}}, ClearedAge: -1, Blamed: true}}
	news.FaultNews = FaultNews{Own: true, Seen: []SeenFault{{Age: time.Second, Answered: true}}}
	encoded, err = cbor.Marshal(NewUpdate(news))
	qt.Assert(t, err, qt.IsNil)
	var update Update
	qt.Assert(t, cbor.Unmarshal(encoded, &update), qt.IsNil)
	qt.Check(t, update.Store, qt.DeepEquals, news.Store)
	qt.Check(t, update.Unwrap().Retries, qt.DeepEquals, news.Retries)
	qt.Check(t, update.News.Parts, qt.DeepEquals, news.Parts)
	qt.Check(t, update.News.FaultNews, qt.DeepEquals, news.FaultNews)
	qt.Check(t, update.Check(), qt.IsNil)
	// A later build may add fields.
	encoded, err = cbor.Marshal(map[string]any{"News": news, "Store": news.Store, "Later": 1})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, cbor.Unmarshal(encoded, &update), qt.IsNil)
	qt.Check(t, (&Update{}).Check(), qt.IsNotNil)
}

// TestUnusableUpstreamCostsNoOther guards against lists that a peer refuses as a whole
// because the store holds an entry that describes no usable upstream.
func TestUnusableUpstreamCostsNoOther(t *testing.T) {
	sound := &fleet.Upstream{Instance: "sound", Address: "10.0.0.1:80", State: fleet.Serving}
	unusable := &fleet.Upstream{Instance: "odd", State: fleet.Unusable}
	qt.Check(t, (&Lists{Version: Version, Upstreams: []*fleet.Upstream{sound, unusable}}).Check(), qt.IsNil)
	qt.Check(t, (&Lists{Version: Version, Upstreams: []*fleet.Upstream{{Instance: "a", State: fleet.Serving}}}).Check(), qt.IsNotNil)
	qt.Check(t, (&Lists{Version: Version, Upstreams: []*fleet.Upstream{{State: fleet.Unusable}}}).Check(), qt.IsNotNil)
}
