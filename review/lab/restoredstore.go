package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"lovageport.example/platform/platformtest"
)

func init() { cases["restored-store"] = restoredStore }

// Times of the case, counted from the acknowledgement of the version that takes the key
// away unless something else is said.
const (
	// copyAge is how long before the acknowledgement the copy of the store was made.
	copyAge = 300 * time.Millisecond
	// killAt is when the gateway is killed, and the store goes away for awayTime.
	killAt   = 4 * time.Second
	awayTime = 500 * time.Millisecond
	// restartAt is when the gateway starts again.
	restartAt = revokeBound + 100*time.Millisecond
	// rewriteTime is how long after its return the store has what the operator and the
	// runners wrote again.
	rewriteTime = 1900 * time.Millisecond
)

// restoredStore has the store come back from a copy that lacks the removal of a key, which
// all gateways know. A gateway that starts then, none of whose seeds answers, must not let
// requests with the key run.
func restoredStore(l *lab, trouble bool) ([]string, error) {
	const revoked = "sk-revoked"
	l.store.SetEra(4)
	l.store.Configure(platformtest.Configuration{Version: 1, Keys: []string{apiKey, revoked}, StreamAttempts: 2})
	for i := range plainRunners {
		u := platformtest.NewUpstream(l.store, platformtest.PlainService, zones[i], "", fmt.Sprintf("i-%03d", i+1))
		defer u.Close()
		defer l.recordRuns(u)
	}
	if err := l.startFleet(l.directStore); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	backup := l.store.Copy()
	time.Sleep(copyAge)
	version2 := platformtest.Configuration{Version: 2, Keys: []string{apiKey}, StreamAttempts: 2}
	l.store.Configure(version2)
	acknowledged := time.Now()
	l.record("version 2, which takes a key away, is acknowledged")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var calls []*call
	send := func(g *gateway, interval time.Duration) {
		clients.Go(func() {
			own := l.sendEvery(g, interval, stop, func() *call { return l.get(g, "/look/1", revoked) })
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, own...)
		})
	}
	restarted := l.gateways[4]
	for _, g := range l.gateways {
		if g != restarted {
			send(g, 100*time.Millisecond)
		}
	}
	time.Sleep(time.Until(acknowledged.Add(killAt)))
	restarted.signal(syscall.SIGKILL)
	<-restarted.ended
	if trouble {
		l.store.SetDown(true)
		l.record("the store is away")
		time.Sleep(awayTime)
		l.store.Restore(backup)
		l.store.SetDown(false)
		l.record("the store is back, from a copy")
	}
	back := time.Now()
	time.Sleep(time.Until(acknowledged.Add(restartAt)))
	restarted.firstStart, restarted.seeds = false, nil
	for range 3 {
		stale, err := freeAddress()
		if err != nil {
			return nil, err
		}
		restarted.seeds = append(restarted.seeds, stale)
	}
	if err := restarted.start(); err != nil {
		return nil, err
	}
	send(restarted, 5*time.Millisecond)
	time.Sleep(time.Until(back.Add(rewriteTime)))
	if trouble {
		l.store.Configure(version2)
		l.record("the operator has written version 2 again")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	var broken []string
	for _, c := range calls {
		if after := c.sent.Sub(acknowledged); c.status == http.StatusOK && after > revokeBound {
			broken = append(broken, fmt.Sprintf("request %s with the key, sent to %s %v after the acknowledgement, ran", c.id, c.gateway, after.Round(time.Millisecond)))
		}
	}
	return broken, nil
}
