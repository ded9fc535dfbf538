package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"lovageport.example/internal/protocol/peering"
)

// BenchmarkHeartbeat is one exchange of heartbeats over loopback, both ends,
// with news of some failures.
func BenchmarkHeartbeat(b *testing.B) {
	for _, deaths := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("deaths=%d", deaths), func(b *testing.B) {
			said := &peering.Heartbeat{Version: peering.Version, Entry: "wien-entry-1", Zone: "wien", Address: "10.0.0.1:8082", Withdrawals: "0123456789abcdef0123456789abcdef"}
			for i := range deaths {
				said.Deaths = append(said.Deaths, peering.Death{Upstream: fmt.Sprintf("wien-engine-%d", i), Age: time.Second})
			}
			text, err := theCodec.Marshal(said)
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			h := &Handler{Heartbeat: func(context.Context, *peering.Heartbeat) (*peering.Heartbeat, error) { return said, nil }}
			go func() { _ = Serve(ctx, listener, h, nil) }()
			clients := &Clients{Timeout: time.Second}
			defer clients.Close()
			for b.Loop() {
				if _, err := clients.Heartbeat(ctx, listener.Addr().String(), said); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(2*len(text)), "bytes/op")
		})
	}
}
