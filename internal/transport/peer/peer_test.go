package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/peering"
)

func TestCodecKeepsHeartbeat(t *testing.T) {
	said := peering.Heartbeat{
		Version: peering.Version, Secret: "s", Entry: "e", Zone: "z", Address: "10.0.0.1:3", Generation: 7,
		Deaths: []peering.Death{{Upstream: "u", Age: time.Second}},
		Suspicions: []peering.Suspicion{
			{Fingerprint: "f", Crashes: []peering.Death{{Upstream: "u", Age: time.Second}}},
		},
	}
	text, err := theCodec.Marshal(&said)
	qt.Assert(t, err, qt.IsNil)
	var heard peering.Heartbeat
	qt.Assert(t, theCodec.Unmarshal(text, &heard), qt.IsNil)
	qt.Check(t, heard, qt.DeepEquals, said)
}

func FuzzHeartbeat(f *testing.F) {
	text, err := theCodec.Marshal(&peering.Heartbeat{Version: peering.Version, Entry: "e"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		var heard peering.Heartbeat
		if theCodec.Unmarshal(text, &heard) != nil {
			return
		}
		if heard.Version != peering.Version || heard.Entry == "" || len(heard.Deaths) > peering.MaxNews {
			t.Fatalf("unchecked heartbeat %+v", heard)
		}
	})
}

func FuzzShardReply(f *testing.F) {
	text, err := theCodec.Marshal(&peering.ShardReply{Version: peering.Version})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var reply peering.ShardReply
		if theCodec.Unmarshal(text, &reply) == nil && len(reply.Shards) > peering.MaxShards {
			t.Fatal("unchecked reply")
		}
	})
}
