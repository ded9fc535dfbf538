package main

import (
	"fmt"
	"sync"
	"time"

	"lovageport.example/platform/platformtest"
)

func init() { cases["silent-watch"] = silentWatch }

// Times of the case.
const (
	// judgeMargin is how much later than the bounds say a request must be to count.
	judgeMargin = 20 * time.Millisecond
	// calmTime is how long calm traffic runs before the disruption.
	calmTime = 10 * time.Second
	// releaseRunners is the number of runners of the service. In each release, releaseCount
	// of them, 0.39, are replaced one after the other, with releaseGap between two.
	// serveAfter is how long each serves after its entry is gone: drain_ms and some seconds.
	releaseRunners = 33
	releaseCount   = 13
	releaseGap     = 800 * time.Millisecond
	serveAfter     = 4 * time.Second
	// silences is how often the connections go silent, with silenceGap between them.
	silences   = 6
	silenceGap = 11 * time.Second
	// callInterval is the pause between two requests of a client.
	callInterval = 12 * time.Millisecond
)

// departure is the removal of a runner's entry from the store.
type departure struct {
	runner *platformtest.Upstream
	at     time.Time
}

// silentWatch replaces runners one after the other, whose entries are removed from the store
// while they serve on. At the begin of each release the open connections between the gateways
// and the store go silent. No request that is sent later than the drain bound after an entry was removed,
// to a gateway whose connections went silent longer ago than the stable window, may reach the
// runner.
func silentWatch(l *lab, trouble bool) ([]string, error) {
	var proxies []*proxy
	defer func() {
		for _, p := range proxies {
			p.close()
		}
	}()
	l.store.Configure(platformtest.Configuration{Version: 1, Keys: []string{apiKey}, StreamAttempts: 2})
	started := 0
	var runners []*platformtest.Upstream
	startRunner := func() {
		started++
		runners = append(runners, platformtest.NewUpstream(l.store, platformtest.PlainService, zones[started%len(zones)], "", fmt.Sprintf("i-%03d", started)))
	}
	defer func() {
		for _, u := range runners {
			u.Close()
		}
	}()
	for range releaseRunners {
		startRunner()
	}
	err := l.startFleet(func() (string, error) {
		p, err := newProxy(l.store.Address)
		if err != nil {
			return "", err
		}
		proxies = append(proxies, p)
		return p.address, nil
	})
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	sentAt := make(map[string]*call)
	var mu sync.Mutex
	for _, g := range l.gateways {
		clients.Go(func() {
			for _, c := range l.sendEvery(g, callInterval, stop, func() *call { return l.get(g, "/look/1", apiKey) }) {
				mu.Lock()
				sentAt[c.id] = c
				mu.Unlock()
			}
		})
	}
	time.Sleep(calmTime)
	var silencedAt []time.Time
	var departures []departure
	for range silences {
		if trouble {
			silent := 0
			for _, p := range proxies {
				silent += p.silence()
			}
			l.record("%d connections to the store go silent", silent)
		}
		silencedAt = append(silencedAt, time.Now())
		for range releaseCount {
			startRunner()
			time.Sleep(releaseGap)
			leaver := runners[len(departures)]
			leaver.Unregister()
			departures = append(departures, departure{leaver, time.Now()})
			l.record("the store has removed the entry of %s, which serves on for %v", leaver.Instance, serveAfter)
		}
		time.Sleep(time.Until(silencedAt[len(silencedAt)-1].Add(silenceGap)))
	}
	time.Sleep(serveAfter)
	close(stop)
	clients.Wait()
	var broken []string
	for _, d := range departures {
		for _, r := range d.runner.Requests() {
			c := sentAt[r.ID]
			if c == nil {
				continue
			}
			if c.sent.Sub(d.at) <= drainBound+judgeMargin || r.At.Sub(d.at) >= serveAfter {
				continue
			}
			silent := sinceLast(silencedAt, c.sent)
			if trouble && silent <= stableWindow+judgeMargin {
				continue
			}
			broken = append(broken, fmt.Sprintf("request %s, sent to %s %v after the entry of %s was removed, and %v after the connections went silent, reached it",
				r.ID, c.gateway, c.sent.Sub(d.at).Round(time.Millisecond), d.runner.Instance, silent.Round(time.Millisecond)))
		}
	}
	l.record("requests: %d", len(sentAt))
	return broken, nil
}

// sinceLast returns how long before t the last of the times was.
func sinceLast(times []time.Time, t time.Time) time.Duration {
	last := t.Sub(times[0])
	for _, at := range times {
		if before := t.Sub(at); before >= 0 {
			last = min(last, before)
		}
	}
	return last
}
