package peer

import (
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcwire"

	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/transport/intake"
)

// FuzzMessages guards against messages of gateways that end the process when they are
// decoded, or that are accepted although the codec cannot send them on.
func FuzzMessages(f *testing.F) {
	news := &peering.News{Version: peering.Version}
	for i, m := range []any{news, peering.NewUpdate(news), &peering.ListsRequest{Version: peering.Version}, &peering.Lists{Version: peering.Version}, &peering.WithdrawalExchange{Version: peering.Version}, &peering.ShardRequest{Version: peering.Version}} {
		text, err := messageCodec.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), text)
		f.Add(uint8(i), text[:len(text)/2])
		f.Add(uint8(i), append([]byte{0x9f}, text...))
	}
	f.Add(uint8(0), []byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, kind uint8, text []byte) {
		kinds := []checker{&peering.News{}, &peering.Update{}, &peering.ListsRequest{}, &peering.Lists{}, &peering.WithdrawalExchange{}, &peering.ShardRequest{}}
		m := kinds[int(kind)%len(kinds)]
		if messageCodec.Unmarshal(text, m) != nil {
			return
		}
		if _, err := messageCodec.Marshal(m); err != nil {
			t.Fatalf("%T was accepted and cannot be encoded: %v", m, err)
		}
	})
}

// FuzzCalls guards against bytes at the listener of peers that end the process, that leave
// memory counted after their connection has ended, or whose connection stays open.
func FuzzCalls(f *testing.F) {
	frame := func(kind drpcwire.Kind, data string, done bool) string {
		return string(drpcwire.AppendFrame(nil, drpcwire.Frame{Data: []byte(data), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: kind, Done: done}))
	}
	f.Add([]byte(frame(drpcwire.KindInvoke, newsCall, true)))
	f.Add([]byte(frame(drpcwire.KindInvoke, newsCall, false)))
	f.Add([]byte(frame(drpcwire.KindInvokeMetadata, "x", true)))
	f.Add([]byte(frame(drpcwire.KindMessage, "x", true)))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Skip(err)
		}
		memory := &intake.Memory{Max: 1 << 20}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = Serve(t.Context(), &intake.Listener{Listener: tcp, Memory: memory, MaxUnknown: 4}, &Handler{}, func(error) {})
		}()
		conn, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Skip(err)
		}
		defer conn.Close()
		_, _ = conn.Write(text)
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		for answer := make([]byte, 1024); err == nil; _, err = conn.Read(answer) {
			continue
		}
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			t.Fatal("the connection stays open")
		}
		tcp.Close()
		<-served
		if used := memory.Used(); used != 0 {
			t.Fatalf("%d bytes are counted", used)
		}
	})
}
