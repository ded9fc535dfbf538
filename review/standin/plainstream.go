package main

import (
	"net/http"
	"strings"
	"time"
)

// plainStream cuts the path between one of four gateways and one of five runners of a
// service without engine, whose requests are answered by streams that may be resumed.
// The rule: a request from a kept connection that was passed on to a sound runner is
// answered. Sound are the runners whose paths are whole.
func plainStream(w *world) (bool, error) {
	const (
		cutTime       = 5 * time.Second
		streamTimeout = 20 * time.Second
		lookTime      = 300 * time.Millisecond
		// allowed is how many such requests may be lost.
		allowed = 3
	)
	if err := w.build("wien", "wien", "graz", "linz"); err != nil {
		return false, err
	}
	w.configure(7, newShop)
	var cut *narrowListener
	for _, id := range []string{"i-7f3a91c2", "i-02d9e6b4", "i-9046ff59", "i-b1760b95", "i-c5d1e7f0"} {
		r, l, err := newStreamRunner(w.record, streamShop, "wien", id, 192)
		if err != nil {
			return false, err
		}
		if cut == nil {
			cut = l
		}
		w.runners = append(w.runners, r)
		w.store.put("servers", id, r.entry("ready"))
	}
	for _, id := range []string{"i-3e1b07a2", "i-600c9f2a", "i-d4f105a7"} {
		if err := w.add(newShop, "wien", id, 64, lookTime); err != nil {
			return false, err
		}
	}
	if err := w.start(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	c := newClients(w.record, w.gateways, "9c")
	c.keep()
	go c.run(stop, 20, func() { c.send(http.MethodPost, streamPath+"2f", "a card for Mother", streamTimeout) })
	go c.run(stop, 120, func() { c.send(http.MethodPost, bookPath+"2f", "one bouquet", 2*callTimeout) })
	time.Sleep(6 * time.Second)
	cutAt, sound := time.Now(), w.runners[1:]
	if w.trouble {
		n := cut.cutFrom(w.gateways[0].cmd.Process.Pid)
		w.say("cut", "the path between %s and %s is cut; %d connections are silent", w.gateways[0].name, w.runners[0].id, n)
	}
	time.Sleep(cutTime)
	if w.trouble {
		cut.heal()
		w.say("heals", "the path works again")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	c.running.Wait()
	for _, g := range w.gateways {
		select {
		case <-g.exited:
			w.say("ended", "%s has ended by itself: %v", g.name, g.cmd.ProcessState)
		default:
		}
	}
	passedOn := make(map[string]string)
	for _, r := range sound {
		for _, a := range r.arrived() {
			passedOn[a.id] = r.id
		}
	}
	reached := make(map[string]bool)
	for _, a := range w.runners[0].arrived() {
		reached[a.id] = true
	}
	calls, streams := 0, 0
	for _, a := range c.all() {
		on := passedOn[a.id]
		if on == "" || reached[a.id] || a.sent.Before(cutAt.Add(-streamTimeout)) {
			continue
		}
		isStream := strings.HasPrefix(a.path, streamPath)
		switch {
		case a.status == 0:
			calls++
			w.log("lost", "%s reached %s; its connection ended without an answer: %v", a.id, on, a.err)
		case isStream && (a.err != nil || strings.Count(a.body, "\n\n") != events):
			streams++
			w.log("lost", "%s reached %s; its stream ended after %d of %d events: %v", a.id, on, strings.Count(a.body, "\n\n"), events, a.err)
		}
	}
	w.tally(c)
	w.say("lost", "of the requests that reached sound runners alone, %d got no answer, and %d a part of a stream", calls, streams)
	return calls > allowed, nil
}
