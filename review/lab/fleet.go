package main

import (
	"fmt"
	"net/http"
	"time"

	"lovageport.example/platform/platformtest"
)

// zones holds the zone of each gateway, as in the small deployment.
var zones = []string{"wien", "wien", "wien", "graz", "graz", "linz"}

// apiKey is the key of the clients.
const apiKey = "sk-shop"

// Bounds of the small deployment.
const (
	stableWindow = 3000 * time.Millisecond
	drainBound   = 2000 * time.Millisecond
	revokeBound  = 5000 * time.Millisecond
	// expiryTime is after how long the store removes the entry of a runner that is
	// silent: three heartbeat intervals.
	expiryTime = 3 * 1200 * time.Millisecond
)

// startFleet starts one gateway for each zone entry and waits until all are ready. Each
// reaches the store under the address that storeOf returns.
func (l *lab) startFleet(storeOf func() (string, error)) error {
	for i, zone := range zones {
		address, err := storeOf()
		if err != nil {
			return err
		}
		if _, err := l.newGateway(fmt.Sprintf("front-%s-%d", zone, i+1), zone, address); err != nil {
			return err
		}
	}
	seeds := []string{l.gateways[0].peers, l.gateways[3].peers, l.gateways[5].peers}
	for _, g := range l.gateways {
		g.seeds = seeds
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range l.gateways {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// directStore returns the address of the store itself.
func (l *lab) directStore() (string, error) { return l.store.Address, nil }

// recordRuns records what a runner of the project's stand-ins has run.
func (l *lab) recordRuns(u *platformtest.Upstream) {
	for _, r := range u.Requests() {
		l.record("%s ran %s at %s", u.Instance, r.ID, l.since(r.At))
	}
}

// get sends a request without body.
func (l *lab) get(g *gateway, path, key string) *call {
	return l.send(g, http.MethodGet, path, key, time.Second)
}
