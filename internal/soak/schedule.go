package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// fault is something that happens to a site, drawn beforehand.
type fault struct {
	what string
	at   time.Duration
	do   func()
}

// drawer draws faults from a seed.
type drawer struct {
	random *rand.Rand
	site   *site
	// running are faults that last.
	running sync.WaitGroup
}

// length draws how long a fault lasts.
func (d *drawer) length(least, most time.Duration) time.Duration {
	return least + time.Duration(d.random.Float64()*float64(most-least))
}

// harm returns a function that harms a link for a time.
func (d *drawer) harm(l *Proxy, h ProxyFault, length time.Duration) func() {
	return func() {
		end := l.Inject(h)
		time.Sleep(length)
		end()
	}
}

// drawHarm draws what happens to a link.
func (d *drawer) drawHarm() ProxyFault {
	harms := []ProxyFault{
		{Delay: d.length(20*time.Millisecond, 400*time.Millisecond)},
		{StallToTarget: true},
		{StallFromTarget: true},
		{StallToTarget: true, StallFromTarget: true},
		{Reset: true},
		{EndlessResponse: true},
	}
	return harms[d.random.IntN(len(harms))]
}

// plannedWork draws one piece of planned work.
func (d *drawer) plannedWork() (string, func()) {
	g := d.site.gateways[d.random.IntN(len(d.site.gateways))]
	switch d.random.IntN(7) {
	case 0:
		return "stop " + g.name, func() { g.signal(syscall.SIGTERM) }
	case 1:
		return "stop twice " + g.name, func() {
			g.signal(syscall.SIGTERM)
			time.Sleep(50 * time.Millisecond)
			g.signal(syscall.SIGHUP)
		}
	case 2:
		return "reload " + g.name, func() { g.signal(syscall.SIGHUP) }
	case 3:
		return "configure", d.site.configure
	case 4:
		return "forget history", d.site.store.DropHistory
	case 5:
		i, wait, length := d.random.IntN(len(d.site.servers)), d.length(time.Second, 3*time.Second), d.length(500*time.Millisecond, 3*time.Second)
		return fmt.Sprintf("refuse at %s for %v, each time for %v", d.site.servers[i].Instance, length, wait), func() { d.site.refuse(i, wait, length) }
	}
	i, length, listed := d.random.IntN(len(d.site.servers)), d.length(time.Second, 6*time.Second), d.random.IntN(2) == 0
	return fmt.Sprintf("leave %s for %v, listed as draining: %v", d.site.servers[i].Instance, length, listed), func() { d.site.leave(i, length, listed) }
}

// trouble draws one fault of processes, store or links.
func (d *drawer) trouble() (string, func()) {
	g := d.site.gateways[d.random.IntN(len(d.site.gateways))]
	i := d.random.IntN(len(d.site.servers))
	length := d.length(200*time.Millisecond, 5*time.Second)
	switch d.random.IntN(8) {
	case 0:
		return "kill " + g.name, func() { g.signal(syscall.SIGKILL) }
	case 1:
		return fmt.Sprintf("freeze %s for %v", g.name, length), func() {
			g.signal(syscall.SIGSTOP)
			time.Sleep(length)
			g.signal(syscall.SIGCONT)
		}
	case 2:
		return fmt.Sprintf("stop %s and kill it", g.name), func() {
			g.signal(syscall.SIGTERM)
			time.Sleep(length / 10)
			g.signal(syscall.SIGKILL)
		}
	case 3:
		return fmt.Sprintf("store down for %v", length), func() {
			d.site.store.SetDown(true)
			time.Sleep(length)
			d.site.store.SetDown(false)
		}
	case 4:
		h := d.drawHarm()
		return fmt.Sprintf("store of %s %+v for %v", g.name, h, length), d.harm(g.store, h, length)
	case 5:
		h := d.drawHarm()
		// What callers get is the gateway's own.
		h.EndlessResponse = false
		return fmt.Sprintf("callers of %s %+v for %v", g.name, h, length), d.harm(g.callers, h, length)
	case 6:
		return fmt.Sprintf("crash %s for %v", d.site.servers[i].Instance, length), func() { d.site.crash(i, length) }
	}
	h := d.drawHarm()
	return fmt.Sprintf("%s %+v for %v", d.site.servers[i].Instance, h, length), d.harm(d.site.links[i], h, length)
}

// draw draws the faults of a run: planned work, and trouble unless planned.
func (d *drawer) draw(length time.Duration, planned bool) []fault {
	const meanPause = 700 * time.Millisecond
	var out []fault
	for at := d.length(0, meanPause); at < length; at += d.length(0, 2*meanPause) {
		var f fault
		f.at = at
		if planned || d.random.IntN(3) == 0 {
			f.what, f.do = d.plannedWork()
		} else {
			f.what, f.do = d.trouble()
		}
		out = append(out, f)
	}
	return out
}

// play starts each fault when it is due and waits until all have ended.
func (d *drawer) play(faults []fault, began time.Time) {
	for _, f := range faults {
		time.Sleep(time.Until(began.Add(f.at)))
		d.running.Go(f.do)
	}
	d.running.Wait()
}
