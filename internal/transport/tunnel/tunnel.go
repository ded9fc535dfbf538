package tunnel

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovageport.example/internal/guard"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/transport/dial"
	"lovageport.example/internal/transport/intake"
	"lovageport.example/internal/transport/socket"
)

// Prefix begins a tunnel. The first bytes of a call of a peer differ from it.
const Prefix = "LVPTUNL1"

const (
	// maxMessage bounds a message of the handshake in bytes.
	maxMessage = 1 << 10
	// handshakeTimeout bounds the time until the request of a tunnel has arrived.
	handshakeTimeout = time.Second
)

// OutcomeError says why a peer has opened no tunnel.
type OutcomeError struct{ Outcome peering.TunnelOutcome }

// Error implements [error].
func (e *OutcomeError) Error() string { return "tunnel: not opened: " + string(e.Outcome) }

// Open opens a connection to an upstream through the peer at an address. If the peer
// opens none, the error is an [OutcomeError].
func Open(ctx context.Context, dialPeer dial.Func, peer string, request *peering.TunnelRequest) (*Conn, error) {
	opened, err := dialPeer(ctx, "tcp", peer)
	if err != nil {
		return nil, fmt.Errorf("tunnel: %w", err)
	}
	conn, ok := opened.(*net.TCPConn)
	if !ok {
		opened.Close()
		return nil, errors.New("tunnel: not a TCP connection")
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	outcome, err := handshake(conn, request)
	switch {
	case !stop():
		err = context.Cause(ctx)
	case err == nil && outcome != peering.TunnelOpened:
		err = &OutcomeError{outcome}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &Conn{TCPConn: conn, Peer: peer}, nil
}

// handshake sends the request and returns the outcome.
func handshake(conn net.Conn, request *peering.TunnelRequest) (peering.TunnelOutcome, error) {
	message, err := encode(request)
	if err != nil {
		return "", err
	}
	if _, err := conn.Write(append([]byte(Prefix), message...)); err != nil {
		return "", fmt.Errorf("tunnel: %w", err)
	}
	var reply peering.TunnelReply
	if err := decode(conn, &reply); err != nil {
		return "", err
	}
	return reply.Outcome, nil
}

// Server serves the tunnels that peers open. Set Connect before use.
type Server struct {
	// Connect connects to the upstream that a peer asks for. The connection is nil unless
	// the outcome is [peering.TunnelOpened].
	Connect func(ctx context.Context, request *peering.TunnelRequest) (net.Conn, peering.TunnelOutcome)
	// Log receives the errors of connections; it may be nil.
	Log func(error)
	// Guard contains the panics of a tunnel, which end that tunnel alone.
	Guard guard.Guard

	open atomic.Int64
}

// Open returns the number of tunnels that are open.
func (s *Server) Open() int { return int(s.open.Load()) }

// Serve serves the tunnels that a listener accepts until ctx is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var tunnels sync.WaitGroup
	defer tunnels.Wait()
	for {
		conn, err := l.Accept()
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("tunnel: %w", err)
		}
		tunnels.Go(func() {
			// A panic is reported by the guard.
			_ = s.Guard.Run("", func() {
				if err := s.serve(ctx, conn); err != nil && s.Log != nil {
					s.Log(err)
				}
			})
		})
	}
}

// serve serves one tunnel.
func (s *Server) serve(ctx context.Context, accepted net.Conn) error {
	s.open.Add(1)
	defer s.open.Add(-1)
	conn := intake.Socket(accepted)
	defer accepted.Close()
	stop := context.AfterFunc(ctx, func() { reset(conn) })
	defer stop()
	defer conn.Close()
	if err := dial.KeepAlive(conn); err != nil {
		return fmt.Errorf("tunnel: %w", err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("tunnel: %w", err)
	}
	var request peering.TunnelRequest
	if err := decode(accepted, &request); err != nil {
		return err
	}
	intake.Admit(accepted)
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("tunnel: %w", err)
	}
	upstream, outcome := s.Connect(ctx, &request)
	if upstream != nil {
		upstream = socket.Track(upstream)
		defer upstream.Close()
	}
	message, err := encode(&peering.TunnelReply{Version: peering.Version, Outcome: outcome})
	if err != nil {
		return err
	}
	if _, err := conn.Write(message); err != nil {
		return fmt.Errorf("tunnel: %w", err)
	}
	if upstream == nil {
		return nil
	}
	// An upstream may be quiet for long, as in an exchange of this process's own.
	if err := dial.LimitSilence(upstream, dial.KeepAliveTime); err != nil {
		return fmt.Errorf("tunnel: %w", err)
	}
	stopUpstream := context.AfterFunc(ctx, func() { reset(upstream) })
	defer stopUpstream()
	return join(conn, upstream)
}

// lingerTime bounds how long a tunnel whose upstream has ended its data waits for the peer
// to read it. Closing the connection while the peer still sends would reset it.
const lingerTime = time.Second

// join copies between the connection of a peer and that of an upstream until one of them
// ends. Either is reset if the other has failed, so that data that is still on its way is
// not delivered and no response looks complete.
func join(peer, upstream net.Conn) error {
	sent := make(chan error, 1)
	go func() { sent <- copyToUpstream(upstream, peer) }()
	err := (&frameWriter{Conn: peer}).copyFrom(upstream)
	if err != nil {
		reset(peer)
		reset(upstream)
	}
	// An upstream that does not read would hold up the other direction.
	upstream.Close()
	sendErr := finish(peer, sent)
	if errors.Is(err, net.ErrClosed) {
		// The peer has closed the tunnel.
		return nil
	}
	if err == nil && sendErr != nil && !errors.Is(sendErr, net.ErrClosed) {
		return fmt.Errorf("tunnel: %w", sendErr)
	}
	return err
}

// finish closes the connection of a peer once that has ended it, or after lingerTime, and
// returns the result of copying from it.
func finish(peer net.Conn, sent chan error) error {
	if c, ok := peer.(interface{ CloseWrite() error }); ok {
		// It fails only if the connection has ended.
		_ = c.CloseWrite()
	}
	linger := time.NewTimer(lingerTime)
	defer linger.Stop()
	select {
	case err := <-sent:
		peer.Close()
		return err
	case <-linger.C:
		peer.Close()
		return <-sent
	}
}

// copyToUpstream copies what a peer sends until that ends, and closes the connection to the
// upstream, which is reset if that of the peer has failed. An upstream that takes no more
// may have answered: its connection is left to its reader, and what the peer still sends
// is dropped.
func copyToUpstream(upstream, peer net.Conn) error {
	from := &errorReader{Reader: peer}
	_, err := io.Copy(upstream, from)
	switch {
	case from.err != nil:
		reset(upstream)
	case err != nil:
		// It ends with the connection of the peer.
		_, _ = io.Copy(io.Discard, plainReader{peer})
	}
	upstream.Close()
	return err
}

// errorReader keeps the error of a reader, other than [io.EOF]. Like a plainReader it has no
// other methods.
type errorReader struct {
	io.Reader
	err error
}

// Read implements [io.Reader].
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != io.EOF {
		r.err = err
	}
	return n, err
}

// plainReader hides the methods of a connection by which io.Copy would leave the copying
// to the kernel, where a deadline does not end it.
type plainReader struct{ io.Reader }

// reset closes a connection without delivering what it still holds.
func reset(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// It fails only if the connection is closed already.
		_ = c.SetLinger(0)
	}
	conn.Close()
}

// encode returns a message of the handshake after its length.
func encode(message any) ([]byte, error) {
	text, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("tunnel: %w", err)
	}
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(text))), text...), nil
}

// decode reads a message of the handshake and checks it.
func decode(r io.Reader, message interface{ Check() error }) error {
	var length [2]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return fmt.Errorf("tunnel: %w", err)
	}
	n := binary.BigEndian.Uint16(length[:])
	if n > maxMessage {
		return fmt.Errorf("tunnel: message of %d bytes", n)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return fmt.Errorf("tunnel: %w", err)
	}
	if err := cbor.Unmarshal(text, message); err != nil {
		return fmt.Errorf("tunnel: %w", err)
	}
	return message.Check()
}

// acceptPause is the wait before connections are accepted again after a lack of
// descriptors.
const acceptPause = 50 * time.Millisecond

// patientListener goes on to accept connections after a lack of descriptors, at which the
// multiplexer would end.
type patientListener struct{ net.Listener }

// Accept implements [net.Listener].
func (l patientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		var lack syscall.Errno
		if !errors.As(err, &lack) || !lack.Temporary() {
			return conn, err
		}
		time.Sleep(acceptPause)
	}
}
