// Package platform calls the platform's object API and VM list over HTTP.
package platform

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
	"lovageport.example/internal/transport/call"
)

// maxAnswerBytes bounds an answer: a value of a megabyte in base64, and its
// frame.
const maxAnswerBytes = 2 * object.MaxValueBytes

// Client calls the platform.
type Client struct {
	// Address is host:port.
	Address string
	// Credential is sent as bearer token.
	Credential string
	// Timeout bounds a call that does not wait.
	Timeout time.Duration
	// Dial opens connections; the network's if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	http *http.Client
}

// Objects returns the client behind the seam.
func (c *Client) Objects() store.Objects {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	c.http = &http.Client{Transport: &http.Transport{
		MaxResponseHeaderBytes: call.MaxHeadBytes,
		DialContext:            markDial(dial, c.Timeout),
		MaxIdleConnsPerHost:    16,
		IdleConnTimeout:        time.Minute,
	}}
	return store.Objects{
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

// markDial bounds the time to connect, which the HTTP library does not bound by
// the call's, and marks failures to connect: such a call was not sent.
func markDial(dial func(ctx context.Context, network, address string) (net.Conn, error), timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
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
	return found, found.Check()
}

func (c *Client) put(ctx context.Context, key string, value []byte, ifVersion int64) (int64, error) {
	var written object.Object
	path := object.ObjectsPath + key + "?ifVersion=" + strconv.FormatInt(ifVersion, 10)
	if err := c.call(ctx, http.MethodPut, path, value, c.Timeout, &written); err != nil {
		return 0, err
	}
	return written.Version, written.Check()
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
	return found, found.Check()
}

func (c *Client) vms(ctx context.Context) (object.VMList, error) {
	var list object.VMList
	if err := c.call(ctx, http.MethodGet, object.VMsPath, nil, c.Timeout, &list); err != nil {
		return list, err
	}
	return list, list.Check()
}

// call makes one call and decodes the answer into out, if out is not nil.
func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, call.Body(body))
	if err != nil {
		return &store.NotSentError{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.Credential)
	status, text, err := call.Do(c.http, request, maxAnswerBytes)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return decodeAnswer(status, text, out)
}

func decodeAnswer(status int, text []byte, out any) error {
	switch {
	case status == http.StatusNotFound:
		return store.ErrNotFound
	case status == http.StatusPreconditionFailed:
		var conflict object.Conflict
		if err := json.Unmarshal(text, &conflict); err != nil {
			return fmt.Errorf("platform: conflict: %w", err)
		}
		return &store.ConflictError{Version: conflict.Version}
	case status == http.StatusTooManyRequests:
		return &store.NotSentError{Err: errors.New("platform: too many calls")}
	case status/100 != 2:
		return fmt.Errorf("platform: status %d: %s", status, strings.TrimSpace(string(text[:min(len(text), 200)])))
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return nil
}
