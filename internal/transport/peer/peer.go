// Package peer implements the calls between entries, and between gateways, over
// drpc with messages in CBOR.
package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"lovageport.example/internal/guard"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/transport/intake"
)

// Names of the calls on the wire.
const (
	heartbeatCall = "/lovageport.Peer/Heartbeat"
	exchangeCall  = "/lovageport.Peer/Exchange"
	shardsCall    = "/lovageport.Peer/Shards"
	newsCall      = "/lovageport.Peer/News"
	listsCall     = "/lovageport.Peer/Lists"
	// updateCall exchanges news in the form that can be extended. Builds that do
	// not know it serve newsCall.
	updateCall = "/lovageport.Peer/Update"
)

// ErrWrongSecret is returned to a peer whose call lacks the shared secret.
var ErrWrongSecret = errors.New("peer: wrong secret")

// ErrUnsupportedCall is returned for a call that this kind of process does not
// serve.
var ErrUnsupportedCall = errors.New("peer: call is not served here")

// errPanicked is returned to a peer whose call has panicked.
var errPanicked = errors.New("peer: the call failed here")

// Handler handles the calls of peers. It rejects calls whose function is nil with
// [ErrUnsupportedCall].
type Handler struct {
	// Guard contains the panics of calls, each of which fails that call alone.
	Guard guard.Guard
	// Secret is the shared secret that calls of entries must carry.
	Secret string
	// Heartbeat exchanges heartbeats with another entry.
	Heartbeat func(ctx context.Context, request *peering.Heartbeat) (*peering.Heartbeat, error)
	// Exchange exchanges withdrawals of upstreams with another entry.
	Exchange func(ctx context.Context, request *peering.WithdrawalExchange) (*peering.WithdrawalExchange, error)
	// Shards returns the head of the stored configuration and the requested
	// shards.
	Shards func(ctx context.Context, request *peering.ShardRequest) (*peering.ShardReply, error)
	// News exchanges state updates with another gateway, and Lists returns the
	// configuration and upstream list of this one. These calls carry no secret.
	// News may return nil if the process is ending.
	News  func(ctx context.Context, request *peering.News) (*peering.News, error)
	Lists func(ctx context.Context, request *peering.ListsRequest) (*peering.Lists, error)
}

// check compares a secret with the shared one in constant time.
func (h *Handler) check(secret string) error {
	if subtle.ConstantTimeCompare([]byte(secret), []byte(h.Secret)) != 1 {
		return ErrWrongSecret
	}
	return nil
}

// answer calls f, or rejects the call if f is nil.
func answer[In, Out any](ctx context.Context, h *Handler, f func(context.Context, *In) (*Out, error), in *In) (out *Out, err error) {
	if f == nil {
		return nil, ErrUnsupportedCall
	}
	if panicked := h.Guard.Run("", func() { out, err = f(ctx, in) }); panicked != nil {
		return nil, errPanicked
	}
	if conn, ok := drpcctx.Transport(ctx); ok && err == nil {
		intake.Admit(conn)
	}
	return out, err
}

// answerWithSecret is like answer for a call that must carry the shared secret.
func answerWithSecret[In, Out any](ctx context.Context, h *Handler, secret string, f func(context.Context, *In) (*Out, error), in *In) (*Out, error) {
	if err := h.check(secret); err != nil {
		return nil, err
	}
	return answer(ctx, h, f, in)
}

func (h *Handler) heartbeat(ctx context.Context, in *peering.Heartbeat) (*peering.Heartbeat, error) {
	return answerWithSecret(ctx, h, in.Secret, h.Heartbeat, in)
}

func (h *Handler) exchange(ctx context.Context, in *peering.WithdrawalExchange) (*peering.WithdrawalExchange, error) {
	return answerWithSecret(ctx, h, in.Secret, h.Exchange, in)
}

func (h *Handler) shards(ctx context.Context, in *peering.ShardRequest) (*peering.ShardReply, error) {
	return answerWithSecret(ctx, h, in.Secret, h.Shards, in)
}

func (h *Handler) news(ctx context.Context, in *peering.News) (*peering.News, error) {
	return answer(ctx, h, h.News, in)
}

func (h *Handler) lists(ctx context.Context, in *peering.ListsRequest) (*peering.Lists, error) {
	return answer(ctx, h, h.Lists, in)
}

func (h *Handler) update(ctx context.Context, in *peering.Update) (*peering.Update, error) {
	out, err := h.news(ctx, in.Unwrap())
	if err != nil || out == nil {
		return nil, err
	}
	return peering.NewUpdate(out), nil
}

// rpcDescription describes the calls of a [Handler] to drpc.
type rpcDescription struct{ encoding drpc.Encoding }

// NumMethods returns the number of calls.
func (rpcDescription) NumMethods() int { return 6 }

// Method describes the n-th call.
func (d rpcDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return heartbeatCall, d.encoding, receiver((*Handler).heartbeat), (*Handler).heartbeat, true
	case 1:
		return exchangeCall, d.encoding, receiver((*Handler).exchange), (*Handler).exchange, true
	case 2:
		return shardsCall, d.encoding, receiver((*Handler).shards), (*Handler).shards, true
	case 3:
		return newsCall, d.encoding, receiver((*Handler).news), (*Handler).news, true
	case 4:
		return listsCall, d.encoding, receiver((*Handler).lists), (*Handler).lists, true
	case 5:
		return updateCall, d.encoding, receiver((*Handler).update), (*Handler).update, true
	}
	return "", nil, nil, nil, false
}

// receiver adapts a method of [Handler] to the function type that drpc invokes.
func receiver[In, Out any](call func(*Handler, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
		out, err := call(server.(*Handler), ctx, in.(*In))
		if err != nil {
			return nil, err
		}
		return out, nil
	}
}

// Serve handles the calls that arrive on listener until ctx ends. It passes
// errors of connections to log.
func Serve(ctx context.Context, listener net.Listener, h *Handler, log func(error)) error {
	mux := drpcmux.New()
	if err := mux.Register(h, rpcDescription{messageCodec}); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Log: log, Manager: limitMessages(maxCallBytes)})
	ctx, cancel := context.WithCancel(ctx)
	var conns sync.WaitGroup
	defer conns.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				conn.Close()
			}
			return nil
		case isTemporary(err):
			log(err)
			loop.Sleep(ctx, acceptPause)
			continue
		case err != nil:
			return fmt.Errorf("peer: %w", err)
		}
		conns.Go(func() {
			// A connection that is closed while the server waits for a call, and does
			// not read, would go unnoticed. The transport lets the handler admit the
			// sender.
			ctx, cancel := context.WithCancel(drpcctx.WithTransport(ctx, conn))
			defer cancel()
			intake.AfterClose(conn, cancel)
			if err := server.ServeOne(ctx, conn); err != nil {
				log(err)
			}
		})
	}
}

// acceptPause is the wait before connections are accepted again after a lack of
// descriptors.
const acceptPause = 500 * time.Millisecond

// isTemporary reports whether Accept may succeed later.
func isTemporary(err error) bool {
	var lack syscall.Errno
	return errors.As(err, &lack) && lack.Temporary()
}

// Size limits of messages, which drpc buffers whole before decoding.
const (
	// maxCallBytes limits the request message of a call.
	maxCallBytes = 1 << 20
	// maxReplyBytes limits the reply. Lists can take megabytes.
	maxReplyBytes = 4 << 20
)

// limitMessages returns the options of a connection that fails on a message of
// more than maxBytes bytes.
func limitMessages(maxBytes int) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxBytes}}
}
