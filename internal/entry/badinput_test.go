package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/object"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/configuration"
	"lovageport.example/internal/transport/peer"
	"lovageport.example/pkg/verdict"
)

// post sends a POST request to wien-entry. header holds alternating names and
// values.
func (f *fleet) post(path, key, body string, header ...string) callResult {
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+address("wien-entry", 1)+path, strings.NewReader(body))
	qt.Assert(f.t, err, qt.IsNil)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	return f.send(request, false)
}

// TestBadRequests checks that invalid requests are refused with the right status
// and reason and reach no upstream.
func TestBadRequests(t *testing.T) {
	good := `{"model":"textwerk","prompt":"a card","max_tokens":3}`
	deep := `{"model":"textwerk","prompt":"a","x":` + strings.Repeat("[", 1000) + strings.Repeat("]", 1000) + `}`
	tests := []struct {
		name, path, key, body string
		header                []string
		status                int
		reason                verdict.Reason
	}{
		{name: "malformed", path: "/v1/completions", key: testKey, body: `{"model":`, status: 400, reason: verdict.BadRequest},
		{name: "empty", path: "/v1/completions", key: testKey, body: ``, status: 400, reason: verdict.BadRequest},
		{name: "wrong type", path: "/v1/completions", key: testKey, body: `{"model":5}`, status: 400, reason: verdict.BadRequest},
		{name: "no prompt", path: "/v1/completions", key: testKey, body: `{"model":"textwerk"}`, status: 400, reason: verdict.BadRequest},
		{name: "no messages", path: "/v1/chat/completions", key: testKey, body: good, status: 400, reason: verdict.BadRequest},
		{name: "negative tokens", path: "/v1/completions", key: testKey, body: `{"model":"textwerk","prompt":"a","max_tokens":-1}`, status: 400, reason: verdict.BadRequest},
		{name: "two answers", path: "/v1/completions", key: testKey, body: `{"model":"textwerk","prompt":"a","n":2}`, status: 400, reason: verdict.BadRequest},
		{name: "deeply nested", path: "/v1/completions", key: testKey, body: deep, status: 400, reason: verdict.BadRequest},
		{name: "oversized", path: "/v1/completions", key: testKey, body: `{"prompt":"` + strings.Repeat("a", 2<<20) + `"}`, status: 413, reason: verdict.BodyTooLarge},
		{name: "unknown model", path: "/v1/completions", key: testKey, body: `{"model":"x","prompt":"a"}`, status: 404, reason: verdict.UnknownModel},
		{name: "no key", path: "/v1/completions", body: good, status: 401, reason: verdict.Unauthenticated},
		{name: "unknown key", path: "/v1/completions", key: "sk-x", body: good, status: 401, reason: verdict.Unauthenticated},
		{name: "unknown route", path: "/v2/x", key: testKey, body: good, status: 404, reason: verdict.UnknownRoute},
		{name: "unknown service", path: "/services/x/y", key: testKey, body: good, status: 404, reason: verdict.UnknownRoute},
		{name: "unknown operation", path: "/services/ladentisch/x", key: testKey, body: good, status: 404, reason: verdict.UnknownRoute},
		{name: "escaped path", path: "/services/ladentisch/%2e%2e/bookings", key: testKey, body: good, status: 400, reason: verdict.BadRequest},
		{name: "escaped slash", path: "/services/ladentisch/bookings%2fx", key: testKey, body: good, status: 400, reason: verdict.BadRequest},
		{name: "two keys", path: "/services/ladentisch/bookings", key: testKey, body: good, header: []string{"Idempotency-Key", "a", "Idempotency-Key", "b"}, status: 400, reason: verdict.BadRequest},
		{name: "bad timeout", path: "/v1/completions", key: testKey, body: good, header: []string{"Lovageport-Timeout", "5"}, status: 400, reason: verdict.BadRequest},
		{name: "method", path: "/v1/models", key: testKey, body: good, status: 404, reason: verdict.UnknownRoute},
	}
	withFleet(t, func(t *testing.T, f *fleet) {
		for _, tt := range tests {
			got := f.post(tt.path, tt.key, tt.body, tt.header...)
			qt.Check(t, got.status, qt.Equals, tt.status, qt.Commentf("%s: %+v", tt.name, got))
			qt.Check(t, got.reason, qt.Equals, tt.reason, qt.Commentf("%s", tt.name))
			qt.Check(t, got.verdict, qt.Equals, "not-run", qt.Commentf("%s", tt.name))
		}
		for _, e := range f.engines {
			qt.Check(t, e.AcceptedAttempts(), qt.HasLen, 0)
		}
		for _, s := range f.services {
			qt.Check(t, s.Effects(), qt.HasLen, 0)
		}
		qt.Check(t, f.generate(generateRequest{entry: "wien-entry", prompt: "a card", tokens: 3}).complete, qt.IsTrue)
	})
}

// TestRevokedKey checks that a key removed from the declared set is refused once
// the change is in force.
func TestRevokedKey(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		qt.Check(t, f.generate(generateRequest{entry: "linz-entry", key: "sk-other", prompt: "a", tokens: 2}).complete, qt.IsTrue)
		f.set.Accounts = f.set.Accounts[:1]
		f.apply("wien-entry", "revoke", 1)
		f.awaitGeneration("linz-entry", 2, adoptionBound)
		got := f.generate(generateRequest{entry: "linz-entry", key: "sk-other", prompt: "a", tokens: 2})
		qt.Check(t, got.reason, qt.Equals, verdict.Unauthenticated)
	})
}

// sendRaw sends text to a listener of an entry and returns all bytes received
// until the connection closes or patience has passed.
func (f *fleet) sendRaw(entry string, listener int, text string, patience time.Duration) string {
	conn, err := f.net.Host("caller", "caller").Dial(f.ctx, "tcp", address(entry, listener))
	qt.Assert(f.t, err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, conn.SetReadDeadline(time.Now().Add(patience)), qt.IsNil)
	var all bytes.Buffer
	_, _ = io.Copy(&all, conn)
	return all.String()
}

// TestIncompleteRequestsTimeOut guards against connections that are held open by
// a request whose head or body never arrives completely.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		head := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 100\r\n\r\n"
		begin := time.Now()
		got := f.sendRaw("wien-entry", 1, head+`{"model"`, time.Minute)
		qt.Check(t, strings.HasPrefix(got, "HTTP/1.1 408"), qt.IsTrue, qt.Commentf("%s", got))
		qt.Check(t, time.Since(begin) <= 6*time.Second, qt.IsTrue)
		begin = time.Now()
		got = f.sendRaw("wien-entry", 1, "POST /v1/comp", time.Minute)
		qt.Check(t, time.Since(begin) <= 6*time.Second, qt.IsTrue, qt.Commentf("%s", got))
		qt.Check(t, f.status("wien-entry").InFlight, qt.Equals, int32(0))
	})
}

// TestRequestSmuggling guards against request smuggling: the bytes after a body
// with an ambiguous or invalid length must not be read as a second request.
func TestRequestSmuggling(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		second := "POST /services/ladentisch/bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey +
			"\r\nIdempotency-Key: smuggled\r\nContent-Length: 5\r\n\r\nroses"
		common := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"
		for name, text := range map[string]string{
			"length and chunked":        common + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + second,
			"two lengths":               common + "Content-Length: 0\r\nContent-Length: 500\r\n\r\n" + second,
			"unknown transfer encoding": common + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + second,
			"length with sign":          common + "Content-Length: +0\r\n\r\n" + second,
			"space before colon":        common + "Content-Length : 0\r\n\r\n" + second,
			"NUL in a header":           common + "X-A: b\x00c\r\nContent-Length: 0\r\n\r\n" + second,
			"folded length":             common + "X-A: b\r\n Content-Length: 0\r\nContent-Length: 500\r\nTransfer-Encoding: identity\r\n\r\n" + second,
			"chunk size with junk":      common + "Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" + second,
		} {
			got := f.sendRaw("wien-entry", 1, text, 10*time.Second)
			qt.Check(t, strings.Count(got, "HTTP/1.1 ") <= 1, qt.IsTrue, qt.Commentf("%s:\n%s", name, got))
			qt.Check(t, f.effects("smuggled"), qt.Equals, 0, qt.Commentf("%s", name))
		}
		// A header that the caller lists in Connection can't cause a second
		// request at the service either.
		got := f.post("/services/ladentisch/bookings", testKey, "roses", "Idempotency-Key", "k1", "X-Note", "a", "Connection", "X-Note")
		qt.Check(t, got.status, qt.Equals, 200)
		qt.Check(t, f.effects("k1"), qt.Equals, 1)
	})
}

// TestInvalidObjectsFromPlatform checks that an entry ignores invalid objects
// stored on the platform and continues to serve.
func TestInvalidObjectsFromPlatform(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for _, garbage := range []string{"", "null", "{}", "[]", `{"Generation":-5}`, "\x00\xff", `{"Generation":9,"Shards":["x"]}`, strings.Repeat("[", 100000)} {
			f.platform.Restore(map[string]object.Object{
				configuration.HeadKey: {Key: configuration.HeadKey, Value: []byte(garbage)},
				"withdrawals":         {Key: "withdrawals", Value: []byte(garbage)},
			})
			time.Sleep(3 * time.Second)
			for name := range f.entries {
				s := f.status(name)
				qt.Check(t, s.Generation, qt.Equals, int64(1))
				qt.Check(t, s.Ready, qt.IsTrue)
			}
			a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: 3}
			qt.Check(t, f.generate(a).complete, qt.IsTrue, qt.Commentf("%.20q", garbage))
		}
	})
}

// TestInvalidMessagesFromPeers checks that an entry rejects bytes that are not
// valid DRPC and messages with another version, a wrong secret or invalid fields,
// and continues to serve.
func TestInvalidMessagesFromPeers(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x00", strings.Repeat("\xff", 1<<16)} {
			f.sendRaw("wien-entry", 3, garbage, 2*time.Second)
		}
		clients := &peer.Client{Dial: f.net.Host("caller", "caller").Dial, Timeout: time.Second}
		defer clients.Close()
		good := peering.Heartbeat{Version: peering.Version, Secret: "secret", Entry: "x", Zone: "wien", Address: "10.9.9.9:3"}
		for name, change := range map[string]func(*peering.Heartbeat){
			"version":  func(h *peering.Heartbeat) { h.Version = peering.Version + 1 },
			"secret":   func(h *peering.Heartbeat) { h.Secret = "guess" },
			"no entry": func(h *peering.Heartbeat) { h.Entry = "" },
			"negative": func(h *peering.Heartbeat) { h.Generation = -1 },
		} {
			said := good
			said.Generation = 99
			change(&said)
			_, err := clients.Heartbeat(f.ctx, address("wien-entry", 3), &said)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", name))
		}
		s := f.status("wien-entry")
		qt.Check(t, s.Peers, qt.HasLen, 2)
		qt.Check(t, f.generate(generateRequest{entry: "wien-entry", prompt: "a card", tokens: 3}).complete, qt.IsTrue)
		// A generation that no peer and no platform can deliver must not interrupt
		// service.
		good.Generation = 99
		_, err := clients.Heartbeat(f.ctx, address("wien-entry", 3), &good)
		qt.Check(t, err, qt.IsNil)
		time.Sleep(5 * time.Second)
		qt.Check(t, f.status("wien-entry").Ready, qt.IsTrue)
		qt.Check(t, f.generate(generateRequest{entry: "wien-entry", prompt: "a card", tokens: 3}).complete, qt.IsTrue)
	})
}

// TestSlowReaderDoesNotBlockOthers guards against a caller that does not read its
// answer and thereby delays the answers of other callers.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		ctx, cancel := context.WithCancel(f.ctx)
		defer cancel()
		body := `{"model":"textwerk","prompt":"a","max_tokens":4000,"stream":true}`
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address("wien-entry", 1)+"/v1/completions", strings.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+testKey)
		response, err := f.client().Do(request)
		qt.Assert(t, err, qt.IsNil)
		defer response.Body.Close()
		_, err = bufio.NewReader(response.Body).ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		for i := range 10 {
			a := generateRequest{entry: "wien-entry", prompt: fmt.Sprint(i), tokens: 5}
			got := f.generate(a)
			f.checkResult(a, got)
			qt.Check(t, got.complete, qt.IsTrue)
		}
		synctest.Wait()
	})
}
