package endtoend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/engine"
)

// readTokenTimes reads a streamed answer, from an entry or from a chain of
// engines directly, and returns the time from the request to each token.
func readTokenTimes(client *http.Client, request *http.Request, isToken func(line []byte) bool) ([]time.Duration, error) {
	begin := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var times []time.Duration
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if isToken(scanner.Bytes()) {
			times = append(times, time.Since(begin))
		}
	}
	return times, scanner.Err()
}

// requestDirect sends a request to the chain of engines, without an entry.
func (s *system) requestDirect(client *http.Client, tokens, n int) ([]time.Duration, error) {
	run := engine.RunRequest{Request: "direct", Attempt: fmt.Sprintf("direct-%d", n), Model: model, Prompt: "a card", MaxTokens: tokens}
	for i, u := range s.upstreams[:3] {
		span := engine.Span{Upstream: u.Name, From: i * layers / 3, To: (i + 1) * layers / 3}
		run.Route = append(run.Route, engine.Stage{Span: span, Address: u.Address})
	}
	body, err := json.Marshal(run)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+s.upstreams[0].Address+engine.RunPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return readTokenTimes(client, request, func(line []byte) bool { return bytes.Contains(line, []byte(`"token"`)) })
}

// requestThroughEntry sends a request to the first entry.
func (s *system) requestThroughEntry(client *http.Client, tokens int) ([]time.Duration, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"a card"}`, model, tokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+s.entries[0].callers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	return readTokenTimes(client, request, func(line []byte) bool { return bytes.Contains(line, []byte(`"text":"w`)) })
}

// p95 returns the 95th percentile. It sorts its argument.
func p95(all []time.Duration) time.Duration {
	slices.Sort(all)
	return all[len(all)*95/100]
}

// intervals returns the times between successive tokens.
func intervals(times []time.Duration) []time.Duration {
	var all []time.Duration
	for i := 1; i < len(times); i++ {
		all = append(all, times[i]-times[i-1])
	}
	return all
}

// BenchmarkOverhead measures what an entry adds, at the 95th percentile, to
// the time to the first token and to the time between tokens of a chain of
// engines. Requests run one at a time, alternately to the chain and through
// the entry.
func BenchmarkOverhead(b *testing.B) {
	s := startSystem(b, 1, "--unrecorded", "--layers-per-second", "6000")
	client := &http.Client{}
	var first, firstDirect, between, betweenDirect []time.Duration
	for n := range max(b.N, 1000) {
		times, err := s.requestDirect(client, 8, n)
		qt.Assert(b, err, qt.IsNil)
		firstDirect = append(firstDirect, times[0])
		betweenDirect = append(betweenDirect, intervals(times)...)
		times, err = s.requestThroughEntry(client, 8)
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, times, qt.HasLen, 8)
		first = append(first, times[0])
		between = append(between, intervals(times)...)
	}
	micros := func(d time.Duration) float64 { return float64(d.Microseconds()) }
	b.ReportMetric(micros(p95(firstDirect)), "µs-first-direct-p95")
	b.ReportMetric(micros(p95(first)), "µs-first-p95")
	b.ReportMetric(micros(p95(first)-p95(firstDirect)), "µs-first-added")
	b.ReportMetric(micros(p95(betweenDirect)), "µs-between-direct-p95")
	b.ReportMetric(micros(p95(between)), "µs-between-p95")
	b.ReportMetric(micros(p95(between)-p95(betweenDirect)), "µs-between-added")
	b.ReportMetric(0, "ns/op")
}

// cpuSeconds returns the CPU time that an entry has used.
func cpuSeconds(b *testing.B, e *process) float64 {
	response, err := http.Get("http://" + e.operators + "/metrics")
	qt.Assert(b, err, qt.IsNil)
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if text, ok := strings.CutPrefix(scanner.Text(), "process_cpu_seconds_total "); ok {
			seconds, err := strconv.ParseFloat(text, 64)
			qt.Assert(b, err, qt.IsNil)
			return seconds
		}
	}
	b.Fatal("no process_cpu_seconds_total in the metrics")
	return 0
}

// BenchmarkRelay measures how many tokens an entry forwards per second of CPU
// time, in concurrent streams whose tokens come one by one.
func BenchmarkRelay(b *testing.B) {
	const (
		streams = 200
		tokens  = 400
	)
	s := startSystem(b, 1, "--unrecorded", "--layers-per-second", "1200")
	for range b.N {
		before := cpuSeconds(b, s.entries[0])
		var group sync.WaitGroup
		begin := time.Now()
		for range streams {
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				times, err := s.requestThroughEntry(client, tokens)
				qt.Check(b, err, qt.IsNil)
				qt.Check(b, times, qt.HasLen, tokens)
			})
		}
		group.Wait()
		used := cpuSeconds(b, s.entries[0]) - before
		b.ReportMetric(streams*tokens/used, "tokens/core-second")
		b.ReportMetric(streams*tokens/time.Since(begin).Seconds(), "tokens/s")
	}
}
