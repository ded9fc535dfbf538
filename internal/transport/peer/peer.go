// Package peer carries the messages between entries over drpc.
package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"lovageport.example/internal/protocol/peering"
)

// Names of the calls.
const (
	heartbeatCall = "/lovageport.Peer/Heartbeat"
	exchangeCall  = "/lovageport.Peer/Exchange"
	shardsCall    = "/lovageport.Peer/Shards"
	newsCall      = "/lovageport.Peer/News"
	listsCall     = "/lovageport.Peer/Lists"
)

// ErrSecret says that a peer does not know the shared secret.
var ErrSecret = errors.New("peer: wrong secret")

// ErrNotServed says that a process of another kind was called.
var ErrNotServed = errors.New("peer: call is not served here")

// Handler answers the calls of peers. Calls whose function is nil are refused.
type Handler struct {
	// Secret is what entries must know.
	Secret    string
	Heartbeat func(ctx context.Context, said *peering.Heartbeat) (*peering.Heartbeat, error)
	Exchange  func(ctx context.Context, said *peering.WithdrawalExchange) (*peering.WithdrawalExchange, error)
	Shards    func(ctx context.Context, asked *peering.ShardRequest) (*peering.ShardReply, error)
	// News and Lists are those of gateways.
	News  func(ctx context.Context, said *peering.News) (*peering.News, error)
	Lists func(ctx context.Context, asked *peering.ListsRequest) (*peering.Lists, error)
}

func (h *Handler) check(secret string) error {
	if subtle.ConstantTimeCompare([]byte(secret), []byte(h.Secret)) != 1 {
		return ErrSecret
	}
	return nil
}

func (h *Handler) heartbeat(ctx context.Context, in *peering.Heartbeat) (*peering.Heartbeat, error) {
	if err := h.check(in.Secret); err != nil {
		return nil, err
	}
	if h.Heartbeat == nil {
		return nil, ErrNotServed
	}
	return h.Heartbeat(ctx, in)
}

func (h *Handler) exchange(ctx context.Context, in *peering.WithdrawalExchange) (*peering.WithdrawalExchange, error) {
	if err := h.check(in.Secret); err != nil {
		return nil, err
	}
	if h.Exchange == nil {
		return nil, ErrNotServed
	}
	return h.Exchange(ctx, in)
}

func (h *Handler) shards(ctx context.Context, in *peering.ShardRequest) (*peering.ShardReply, error) {
	if err := h.check(in.Secret); err != nil {
		return nil, err
	}
	if h.Shards == nil {
		return nil, ErrNotServed
	}
	return h.Shards(ctx, in)
}

func (h *Handler) news(ctx context.Context, in *peering.News) (*peering.News, error) {
	if h.News == nil {
		return nil, ErrNotServed
	}
	return h.News(ctx, in)
}

func (h *Handler) lists(ctx context.Context, in *peering.ListsRequest) (*peering.Lists, error) {
	if h.Lists == nil {
		return nil, ErrNotServed
	}
	return h.Lists(ctx, in)
}

// description tells drpc the calls of a [Handler].
type description struct{ encoding drpc.Encoding }

// NumMethods returns the count of calls.
func (description) NumMethods() int { return 5 }

// Method describes the n-th call.
func (d description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
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
	}
	return "", nil, nil, nil, false
}

// receiver adapts a call to what drpc invokes.
func receiver[In, Out any](call func(*Handler, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(server any, ctx context.Context, in, _ any) (drpc.Message, error) {
		out, err := call(server.(*Handler), ctx, in.(*In))
		if err != nil {
			return nil, err
		}
		return out, nil
	}
}

// Serve answers peers on a listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, h *Handler, log func(error)) error {
	mux := drpcmux.New()
	if err := mux.Register(h, description{theCodec}); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	return drpcserver.NewWithOptions(mux, drpcserver.Options{Log: log, Manager: bounded(maxCallBytes)}).Serve(ctx, listener)
}

// Bounds of messages: what a peer sends is kept in memory until it is whole.
const (
	// maxCallBytes bounds what a peer says.
	maxCallBytes = 1 << 20
	// maxReplyBytes bounds what it answers: lists may take megabytes.
	maxReplyBytes = 4 << 20
)

// bounded returns the options of connections whose messages are bounded.
func bounded(most int) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: most}}
}

// Clients calls peers, over one connection each that is kept open.
type Clients struct {
	// Dial opens connections; the network's if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout bounds a call.
	Timeout time.Duration

	mu sync.Mutex
	// conns are the connections that no call uses just now. Guarded by mu.
	conns map[string][]*drpcconn.Conn
}

// maxIdleConns bounds the unused connections to one peer.
const maxIdleConns = 2

// Heartbeat exchanges heartbeats with the peer at address.
func (c *Clients) Heartbeat(ctx context.Context, address string, said *peering.Heartbeat) (*peering.Heartbeat, error) {
	var out peering.Heartbeat
	return &out, c.call(ctx, address, heartbeatCall, said, &out)
}

// Exchange exchanges withdrawals with the peer at address.
func (c *Clients) Exchange(ctx context.Context, address string, said *peering.WithdrawalExchange) (*peering.WithdrawalExchange, error) {
	var out peering.WithdrawalExchange
	return &out, c.call(ctx, address, exchangeCall, said, &out)
}

// Shards asks the peer at address for its head and for shards.
func (c *Clients) Shards(ctx context.Context, address string, asked *peering.ShardRequest) (*peering.ShardReply, error) {
	var out peering.ShardReply
	return &out, c.call(ctx, address, shardsCall, asked, &out)
}

// News exchanges news with the gateway at address.
func (c *Clients) News(ctx context.Context, address string, said *peering.News) (*peering.News, error) {
	var out peering.News
	return &out, c.call(ctx, address, newsCall, said, &out)
}

// Lists asks the gateway at address for its configuration and upstreams.
func (c *Clients) Lists(ctx context.Context, address string, asked *peering.ListsRequest) (*peering.Lists, error) {
	var out peering.Lists
	return &out, c.call(ctx, address, listsCall, asked, &out)
}

// call makes one call. A kept connection that turns out to be broken or silent
// is dropped, so that the next call makes a new one.
func (c *Clients) call(ctx context.Context, address, name string, in, out drpc.Message) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	conn, err := c.take(ctx, address)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	if err := conn.Invoke(ctx, name, theCodec, in, out); err != nil {
		conn.Close()
		return fmt.Errorf("peer: %w", err)
	}
	c.put(address, conn)
	return nil
}

func (c *Clients) take(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn := c.idle(address); conn != nil {
		return conn, nil
	}
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: bounded(maxReplyBytes)}), nil
}

func (c *Clients) idle(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		kept := c.conns[address]
		if len(kept) == 0 {
			return nil
		}
		conn := kept[len(kept)-1]
		c.conns[address] = kept[:len(kept)-1]
		select {
		case <-conn.Closed():
		default:
			return conn
		}
	}
}

func (c *Clients) put(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[string][]*drpcconn.Conn)
	}
	if len(c.conns[address]) >= maxIdleConns {
		conn.Close()
		return
	}
	c.conns[address] = append(c.conns[address], conn)
}

// Close closes the kept connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kept := range c.conns {
		for _, conn := range kept {
			conn.Close()
		}
	}
	c.conns = nil
}
