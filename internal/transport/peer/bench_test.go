package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"lovageport.example/internal/protocol/peering"
)

// BenchmarkHeartbeat measures one exchange of heartbeats over loopback, client
// and server together, with reports of some upstream failures.
func BenchmarkHeartbeat(b *testing.B) {
	for _, deaths := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("deaths=%d", deaths), func(b *testing.B) {
			request := &peering.Heartbeat{Version: peering.Version, Entry: "wien-entry-1", Zone: "wien", Address: "10.0.0.1:8082", Withdrawals: "0123456789abcdef0123456789abcdef"}
			for i := range deaths {
				request.Deaths = append(request.Deaths, peering.Death{Upstream: fmt.Sprintf("wien-engine-%d", i), Age: time.Second})
			}
			text, err := messageCodec.Marshal(request)
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			h := &Handler{Heartbeat: func(context.Context, *peering.Heartbeat) (*peering.Heartbeat, error) { return request, nil }}
			go func() { _ = Serve(ctx, listener, h, nil) }()
			clients := &Client{Timeout: time.Second}
			defer clients.Close()
			for b.Loop() {
				if _, err := clients.Heartbeat(ctx, listener.Addr().String(), request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(2*len(text)), "bytes/op")
		})
	}
}
