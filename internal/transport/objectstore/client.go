// Package objectstore is an HTTP client of the platform's object API and VM list.
package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lovageport.example/internal/protocol/object"
	"lovageport.example/internal/state/store"
	"lovageport.example/internal/transport/httpclient"
)

// maxResponseBytes limits a response body. The largest holds a value of
// [object.MaxValueBytes] in base64, which adds a third, within a JSON object.
const maxResponseBytes = 2 * object.MaxValueBytes

// Client calls the object API. Call [Client.Objects] before use.
type Client struct {
	// Address is host:port.
	Address string
	// Credential is sent as the bearer token.
	Credential string
	// Timeout limits a call. For a watch it comes on top of the time to wait.
	Timeout time.Duration
	// Dial opens connections. If nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	http *http.Client
}

// Objects creates the HTTP client and returns the operations of c. Each call has a
// connection of its own: refusals do not state which call they answer, and on a
// connection that is kept a store may write one once more.
func (c *Client) Objects() store.ObjectAPI {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	c.http = &http.Client{Transport: httpclient.Transport{Transport: &http.Transport{
		MaxResponseHeaderBytes: httpclient.MaxHeaderBytes,
		DialContext:            limitDial(dial, c.Timeout),
		DisableKeepAlives:      true,
	}}}
	return store.ObjectAPI{
		Get:    c.get,
		Put:    c.put,
		Delete: c.delete,
		List:   c.list,
		Watch:  c.watch,
		VMs:    c.vms,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// limitDial limits the time to connect, since net/http may go on connecting
// after the timeout of a call. It wraps failures in [store.NotSentError],
// because a call without a connection was not sent.
func limitDial(dial func(ctx context.Context, network, address string) (net.Conn, error), timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, &store.NotSentError{Err: err}
		}
		return conn, nil
	}
}

func (c *Client) get(ctx context.Context, key string) (object.Object, error) {
	var found object.Object
	if err := c.call(ctx, http.MethodGet, object.ObjectsPath+key, nil, c.Timeout, &found); err != nil {
		return found, err
	}
	return found, checkAnswer(&found, key, 0)
}

// checkAnswer returns an error unless found is a valid object that is stored under
// key and has a version above after.
func checkAnswer(found *object.Object, key string, after int64) error {
	if err := found.Check(); err != nil {
		return err
	}
	if found.Key != key || found.Version <= after {
		return fmt.Errorf("platform: answer about version %d of %q to a call about %q after version %d", found.Version, found.Key, key, after)
	}
	return nil
}

func (c *Client) put(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error) {
	var written object.Object
	path := object.ObjectsPath + key + "?ifVersion=" + strconv.FormatInt(ifVersion, 10)
	if err := c.call(ctx, http.MethodPut, path, value, c.Timeout, &written); err != nil {
		var conflict *store.ConflictError
		if errors.As(err, &conflict) && conflict.Version == ifVersion {
			return 0, fmt.Errorf("platform: %s has version %d, but a write that expects it is refused", key, ifVersion)
		}
		return 0, err
	}
	return written.Version, checkAnswer(&written, key, ifVersion)
}

func (c *Client) delete(ctx context.Context, key string, ifVersion int64) error {
	path := object.ObjectsPath + key + "?ifVersion=" + strconv.FormatInt(ifVersion, 10)
	return c.call(ctx, http.MethodDelete, path, nil, c.Timeout, nil)
}

func (c *Client) list(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	err := c.call(ctx, http.MethodGet, object.ObjectsPath+"?prefix="+url.QueryEscape(prefix), nil, c.Timeout, &keys)
	return keys, err
}

// watch waits up to wait for a version of the object after the given one.
func (c *Client) watch(ctx context.Context, key string, after int64, wait time.Duration) (object.Object, error) {
	var found object.Object
	query := url.Values{
		"key":    {key},
		"after":  {strconv.FormatInt(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	if err := c.call(ctx, http.MethodGet, object.WatchPath+"?"+query.Encode(), nil, c.Timeout+wait, &found); err != nil {
		return found, err
	}
	return found, checkAnswer(&found, key, after)
}

func (c *Client) vms(ctx context.Context) (object.VMList, error) {
	var list object.VMList
	err := c.call(ctx, http.MethodGet, object.VMsPath, nil, c.Timeout, &list)
	return list, err
}

// call makes one call and decodes the response into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, httpclient.SingleUseBody(body))
	if err != nil {
		return &store.NotSentError{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.Credential)
	response, err := httpclient.Do(c.http, request, maxResponseBytes)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return decodeResponse(response.Status, response.Body, out)
}

// decodeResponse maps an error status to an error of package store, or decodes
// the body into out.
func decodeResponse(status int, body []byte, out any) error {
	switch {
	case status == http.StatusNotFound:
		return store.ErrNotFound
	case status == http.StatusPreconditionFailed:
		var conflict object.Conflict
		if err := json.Unmarshal(body, &conflict); err != nil {
			return fmt.Errorf("platform: conflict: %w", err)
		}
		return &store.ConflictError{Version: conflict.Version}
	case status == http.StatusTooManyRequests:
		return &store.NotSentError{Err: errors.New("platform: too many calls")}
	case status/100 != 2:
		return fmt.Errorf("platform: status %d: %s", status, strings.TrimSpace(string(body[:min(len(body), 200)])))
	case out == nil:
		return nil
	}
	decode := func(text []byte) error { return json.Unmarshal(text, out) }
	if l, ok := out.(*object.VMList); ok {
		decode = l.Decode
	}
	if err := decode(body); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return nil
}
