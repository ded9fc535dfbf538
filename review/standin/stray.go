package main

import (
	"net/http"
	"syscall"
	"time"
)

const (
	// recoverTime is recover_s of the small sites, and faultTime the down_s of their
	// final faults.
	recoverTime = 12 * time.Second
	faultTime   = 1300 * time.Millisecond
)

// strayEntries ends with a final fault: all gateways are killed and start again. The
// disruption: meanwhile another writer has added an entry for the address of each runner,
// of a service that no configuration names. The rule: of the requests sent later than
// recover_s after the machines are back, a quarter is served.
func strayEntries(w *world) (bool, error) {
	if err := w.build("wien", "graz"); err != nil {
		return false, err
	}
	w.configure(7, shop)
	for _, x := range [][2]string{{"i-7f3a91c2", "wien"}, {"i-02d9e6b4", "graz"}, {"i-9046ff59", "linz"}} {
		if err := w.add(shop, x[1], x[0], 6, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.start(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	c := newClients(w.record, w.gateways, "9c")
	go c.run(stop, 20, func() { c.send(http.MethodPost, bookPath+"2f", "one bouquet", callTimeout) })
	go c.run(stop, 20, func() { c.send(http.MethodGet, lookPath+"fi50/2f", "", callTimeout) })
	time.Sleep(6 * time.Second)
	fault := time.Now()
	for _, g := range w.gateways {
		g.signal(syscall.SIGKILL)
	}
	for _, g := range w.gateways {
		<-g.exited
	}
	w.say("kill", "all gateways are killed")
	if w.trouble {
		for _, r := range w.runners {
			e := r.entry("ready")
			e["service"] = "node-exporter"
			w.store.put("servers", "x-"+r.id, e)
			w.say("stray", "another writer adds x-%s of service node-exporter at the address of %s", r.id, r.id)
		}
	}
	time.Sleep(faultTime)
	for _, g := range w.gateways {
		if err := g.start(w.store.address, []string{w.gateways[0].peers, w.gateways[1].peers}, false); err != nil {
			return false, err
		}
	}
	back := time.Now()
	w.say("back", "all gateways are started again")
	time.Sleep(recoverTime + 8*time.Second)
	close(stop)
	c.running.Wait()
	var before, after share
	for _, a := range c.all() {
		switch {
		case a.sent.Before(fault):
			before.add(a)
		case a.sent.Sub(back) > recoverTime:
			after.add(a)
		}
	}
	w.tally(c)
	w.say("served", "%d of %d requests before the fault, %d of %d sent later than %v after the machines were back", before.served, before.all, after.served, after.all, recoverTime)
	return 4*before.served >= before.all && 4*after.served < after.all, nil
}

// share counts requests and those of them that were served.
type share struct{ served, all int }

func (s *share) add(a attempt) {
	s.all++
	if a.status == http.StatusOK && a.stamp != "" {
		s.served++
	}
}
