package peer

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"lovageport.example/internal/protocol/peering"
)

// Client calls peers and keeps connections to them open for later calls. It is
// safe for concurrent use.
type Client struct {
	// Dial opens connections. If nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout limits a call, including the time to connect.
	Timeout time.Duration
	// ListsTimeout limits a call of Lists, whose answer may be large; Timeout if 0.
	ListsTimeout time.Duration

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

// News exchanges state updates with the gateway at address. What the
// answer would carry beside the news is the zero value if the build of that gateway
// does not know it.
func (c *Client) News(ctx context.Context, address string, request *peering.News) (*peering.News, error) {
	if c.isOldBuild(address) {
		var out peering.News
		return &out, c.call(ctx, address, newsCall, request, &out)
	}
	var out peering.Update
	err := c.call(ctx, address, updateCall, peering.NewUpdate(request), &out)
	switch {
	case isUnknownCall(err):
		c.markOldBuild(address)
		return c.News(ctx, address, request)
	case err != nil:
		return nil, err
	}
	return out.Unwrap(), nil
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
	return &out, c.callWithin(ctx, cmp.Or(c.ListsTimeout, c.Timeout), address, listsCall, request, &out)
}

// call makes one call within c.Timeout.
func (c *Client) call(ctx context.Context, address, name string, in, out drpc.Message) error {
	return c.callWithin(ctx, c.Timeout, address, name, in, out)
}

// callWithin makes one call. If the call fails, its connection is closed rather than
// reused, so that a broken connection fails at most one call.
func (c *Client) callWithin(ctx context.Context, timeout time.Duration, address, name string, in, out drpc.Message) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
