package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// Bounds of the small sites.
const (
	retryBudget  = 0.2
	budgetSlack  = 196
	budgetWindow = 10 * time.Second
)

// retryWindow crashes one of six runners, and 9.3 s later another one. Each has some
// hundred streams at work, which may be resumed. The rule: in no 10 s does the service get
// more arrivals beyond the first of each request than 0.2 x the requests for it + 196.
func retryWindow(w *world) (bool, error) {
	const (
		perSecond = 75
		// A stream takes 18 s.
		streamEvents = 90
		streamPause  = 200 * time.Millisecond
		between      = 9300 * time.Millisecond
		// downTime is how long a runner is down.
		downTime = 4500 * time.Millisecond
	)
	if err := w.build("wien", "wien", "wien"); err != nil {
		return false, err
	}
	w.configure(7, shop)
	var mu sync.Mutex
	addRunner := func(id string) error {
		r, _, err := newStreamRunner(w.record, streamShop, "wien", id, 320)
		if err != nil {
			return err
		}
		r.events, r.eventTime = streamEvents, streamPause
		mu.Lock()
		w.runners = append(w.runners, r)
		mu.Unlock()
		w.store.put("servers", id, r.entry("ready"))
		return nil
	}
	for _, id := range []string{"i-7f3a91c2", "i-02d9e6b4", "i-9046ff59", "i-b1760b95", "i-c5d1e7f0", "i-3e1b07a2"} {
		if err := addRunner(id); err != nil {
			return false, err
		}
	}
	if err := w.start(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	c := newClients(w.record, w.gateways, "9c")
	go c.run(stop, perSecond, func() { c.send(http.MethodPost, streamPath+"2f", "a card for Mother", 20*time.Second) })
	time.Sleep(19 * time.Second)
	// The gateways count in whole seconds of the time since boot.
	time.Sleep((1850*time.Millisecond - sinceBoot()%time.Second) % time.Second)
	for i, r := range []*runner{w.runners[0], w.runners[1]} {
		if i > 0 {
			time.Sleep(between)
		}
		if w.trouble {
			w.say("crash", "%s crashes; %d streams are at work there", r.id, r.running())
			w.crash(r)
			time.AfterFunc(downTime, func() {
				if err := addRunner(fmt.Sprintf("i-%08x", 0x9c41d07b+i)); err != nil {
					w.log("error", "%v", err)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	return w.exceedsBudget(), nil
}

// exceedsBudget reports whether the arrivals beyond the first of each request have
// exceeded the allowance in some window.
func (w *world) exceedsBudget() bool {
	var all []arrival
	for _, r := range w.runners {
		all = append(all, r.arrived()...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	seen := make(map[string]bool)
	var first, again []time.Time
	for _, a := range all {
		if seen[a.id] {
			again = append(again, a.at)
			w.log("again", "%s arrives again, at %s", a.id, a.runner)
			continue
		}
		seen[a.id] = true
		first = append(first, a.at)
	}
	within := func(times []time.Time, from, to time.Time) int {
		n := 0
		for _, t := range times {
			if t.After(from) && !t.After(to) {
				n++
			}
		}
		return n
	}
	exceeded, most := false, 0
	var allowed float64
	for _, end := range again {
		n := within(again, end.Add(-budgetWindow), end)
		requests := 0
		for _, before := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
			requests = max(requests, within(first, end.Add(-before-budgetWindow), end.Add(-before)))
		}
		allowance := retryBudget*float64(requests) + budgetSlack
		if n > most {
			most, allowed = n, allowance
		}
		exceeded = exceeded || float64(n) > allowance
	}
	w.say("budget", "%d requests; at most %d arrivals in %v beyond the first of each request, %.0f are allowed", len(first), most, budgetWindow, allowed)
	return exceeded
}

// sinceBoot returns the time since boot, a suspension included.
func sinceBoot() time.Duration {
	const clockBoottime = 7
	var now syscall.Timespec
	syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&now)), 0)
	return time.Duration(now.Nano())
}
