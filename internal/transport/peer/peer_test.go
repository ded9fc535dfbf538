package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/peering"
)

func TestHeartbeatSurvivesEncoding(t *testing.T) {
	request := peering.Heartbeat{
		Version: peering.Version, Secret: "s", Entry: "e", Zone: "z", Address: "10.0.0.1:3", Generation: 7,
		Deaths: []peering.Death{{Upstream: "u", Age: time.Second}},
		Suspicions: []peering.Suspicion{
			{Fingerprint: "f", Crashes: []peering.Death{{Upstream: "u", Age: time.Second}}},
		},
	}
	text, err := messageCodec.Marshal(&request)
	qt.Assert(t, err, qt.IsNil)
	var decoded peering.Heartbeat
	qt.Assert(t, messageCodec.Unmarshal(text, &decoded), qt.IsNil)
	qt.Check(t, decoded, qt.DeepEquals, request)
}

// FuzzHeartbeat checks that decoding rejects invalid heartbeats.
func FuzzHeartbeat(f *testing.F) {
	text, err := messageCodec.Marshal(&peering.Heartbeat{Version: peering.Version, Entry: "e"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		var decoded peering.Heartbeat
		if messageCodec.Unmarshal(text, &decoded) != nil {
			return
		}
		if decoded.Version != peering.Version || decoded.Entry == "" || len(decoded.Deaths) > peering.MaxListItems {
			t.Fatalf("decoded an invalid heartbeat %+v", decoded)
		}
	})
}

// FuzzShardReply checks that decoding rejects replies with too many shards.
func FuzzShardReply(f *testing.F) {
	text, err := messageCodec.Marshal(&peering.ShardReply{Version: peering.Version})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var reply peering.ShardReply
		if messageCodec.Unmarshal(text, &reply) == nil && len(reply.Shards) > peering.MaxShards {
			t.Fatal("decoded a reply with too many shards")
		}
	})
}
