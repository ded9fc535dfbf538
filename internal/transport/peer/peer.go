// Package peer implements the calls between entries, and between gateways, over
// drpc with messages in CBOR.
package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"strings"
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

// Handler handles the calls of peers. It rejects calls whose function is nil with
// [ErrUnsupportedCall].
type Handler struct {
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

func (h *Handler) heartbeat(ctx context.Context, in *peering.Heartbeat) (*peering.Heartbeat, error) {
	if err := h.check(in.Secret); err != nil {
		return nil, err
	}
	if h.Heartbeat == nil {
		return nil, ErrUnsupportedCall
	}
	return h.Heartbeat(ctx, in)
}

func (h *Handler) exchange(ctx context.Context, in *peering.WithdrawalExchange) (*peering.WithdrawalExchange, error) {
	if err := h.check(in.Secret); err != nil {
		return nil, err
	}
	if h.Exchange == nil {
		return nil, ErrUnsupportedCall
	}
	return h.Exchange(ctx, in)
}

func (h *Handler) shards(ctx context.Context, in *peering.ShardRequest) (*peering.ShardReply, error) {
	if err := h.check(in.Secret); err != nil {
		return nil, err
	}
	if h.Shards == nil {
		return nil, ErrUnsupportedCall
	}
	return h.Shards(ctx, in)
}

func (h *Handler) news(ctx context.Context, in *peering.News) (*peering.News, error) {
	if h.News == nil {
		return nil, ErrUnsupportedCall
	}
	return h.News(ctx, in)
}

func (h *Handler) lists(ctx context.Context, in *peering.ListsRequest) (*peering.Lists, error) {
	if h.Lists == nil {
		return nil, ErrUnsupportedCall
	}
	return h.Lists(ctx, in)
}

func (h *Handler) update(ctx context.Context, in *peering.Update) (*peering.Update, error) {
	in.News.Store = in.Store
	out, err := h.news(ctx, in.News)
	if err != nil || out == nil {
		return nil, err
	}
	return &peering.Update{News: out, Store: out.Store}, nil
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
	return drpcserver.NewWithOptions(mux, drpcserver.Options{Log: log, Manager: limitMessages(maxCallBytes)}).Serve(ctx, listener)
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

// Client calls peers and keeps connections to them open for later calls. It is
// safe for concurrent use.
type Client struct {
	// Dial opens connections. If nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout limits a call, including the time to connect.
	Timeout time.Duration

	mu sync.Mutex
	// idleConns holds the connections that no call is using, by address.
	// Guarded by mu.
	idleConns map[string][]*drpcconn.Conn
	// oldBuilds holds, by address, until when peers are called with newsCall
	// because they did not know updateCall. Guarded by mu.
	oldBuilds map[string]time.Time
}

// maxIdleConns limits the idle connections to one peer.
const maxIdleConns = 2

// Heartbeat exchanges heartbeats with the peer at address.
func (c *Client) Heartbeat(ctx context.Context, address string, request *peering.Heartbeat) (*peering.Heartbeat, error) {
	var out peering.Heartbeat
	return &out, c.call(ctx, address, heartbeatCall, request, &out)
}

// Exchange exchanges withdrawals with the peer at address.
func (c *Client) Exchange(ctx context.Context, address string, request *peering.WithdrawalExchange) (*peering.WithdrawalExchange, error) {
	var out peering.WithdrawalExchange
	return &out, c.call(ctx, address, exchangeCall, request, &out)
}

// Shards requests the configuration head and shards of the peer at address.
func (c *Client) Shards(ctx context.Context, address string, request *peering.ShardRequest) (*peering.ShardReply, error) {
	var out peering.ShardReply
	return &out, c.call(ctx, address, shardsCall, request, &out)
}

// News exchanges state updates with the gateway at address. News.Store of the
// answer is the zero value if the build of that gateway does not know it.
func (c *Client) News(ctx context.Context, address string, request *peering.News) (*peering.News, error) {
	if c.isOldBuild(address) {
		var out peering.News
		return &out, c.call(ctx, address, newsCall, request, &out)
	}
	var out peering.Update
	err := c.call(ctx, address, updateCall, &peering.Update{News: request, Store: request.Store}, &out)
	switch {
	case isUnknownCall(err):
		c.markOldBuild(address)
		return c.News(ctx, address, request)
	case err != nil:
		return nil, err
	}
	out.News.Store = out.Store
	return out.News, nil
}

// unknownCallText is part of the error text with which drpc answers a call that
// the server does not have. It carries no code.
const unknownCallText = "unknown rpc"

// isUnknownCall reports whether a call failed because the peer does not know it.
func isUnknownCall(err error) bool {
	return err != nil && strings.Contains(err.Error(), unknownCallText)
}

// oldBuildTime is how long a peer is taken to be of an old build after it did not
// know a call. Another build may replace it at the same address.
const oldBuildTime = 10 * time.Second

// isOldBuild reports whether the peer at address is taken to be of a build that
// does not know updateCall.
func (c *Client) isOldBuild(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, known := c.oldBuilds[address]
	if known && time.Now().After(until) {
		delete(c.oldBuilds, address)
		return false
	}
	return known
}

func (c *Client) markOldBuild(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.oldBuilds == nil {
		c.oldBuilds = make(map[string]time.Time)
	}
	c.oldBuilds[address] = time.Now().Add(oldBuildTime)
}

// Lists requests the configuration and upstream list of the gateway at address.
func (c *Client) Lists(ctx context.Context, address string, request *peering.ListsRequest) (*peering.Lists, error) {
	var out peering.Lists
	return &out, c.call(ctx, address, listsCall, request, &out)
}

// call makes one call. If the call fails, its connection is closed rather than
// reused, so that a broken connection fails at most one call.
func (c *Client) call(ctx context.Context, address, name string, in, out drpc.Message) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	conn, err := c.getConn(ctx, address)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	if err := conn.Invoke(ctx, name, messageCodec, in, out); err != nil {
		conn.Close()
		return fmt.Errorf("peer: %w", err)
	}
	c.putConn(address, conn)
	return nil
}

// getConn returns an idle connection to address, or opens one.
func (c *Client) getConn(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn := c.popIdle(address); conn != nil {
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
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: limitMessages(maxReplyBytes)}), nil
}

// popIdle removes and returns the most recently used idle connection to address
// that is still open, or returns nil.
func (c *Client) popIdle(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		conns := c.idleConns[address]
		if len(conns) == 0 {
			return nil
		}
		conn := conns[len(conns)-1]
		c.idleConns[address] = conns[:len(conns)-1]
		select {
		case <-conn.Closed():
		default:
			return conn
		}
	}
}

// putConn keeps an idle connection for later calls, or closes it if there are
// enough.
func (c *Client) putConn(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleConns == nil {
		c.idleConns = make(map[string][]*drpcconn.Conn)
	}
	if len(c.idleConns[address]) >= maxIdleConns {
		conn.Close()
		return
	}
	c.idleConns[address] = append(c.idleConns[address], conn)
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.idleConns {
		for _, conn := range conns {
			conn.Close()
		}
	}
	c.idleConns = nil
}
