package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/platform"
)

// registerRetryDelay is the delay after a failed registration.
const registerRetryDelay = time.Second

// register registers this gateway in the store and learns of others there, again
// after each restoration of the store. Neither is needed to work with peers that
// are already known, so an outage of the store does not delay the gateway's start.
func (g *Gateway) register(ctx context.Context) error {
	entry := platform.GatewayRegistration{Name: g.Settings.Name, Zone: g.Settings.Zone, Address: g.Settings.Listen.Peers}
	for {
		if !g.writeRegistration(ctx, entry) {
			return nil
		}
		g.learnRegistered(ctx)
		if !g.awaitRestoration(ctx) {
			return nil
		}
	}
}

// writeRegistration writes the registration, however often that fails. It returns
// false if ctx ends.
func (g *Gateway) writeRegistration(ctx context.Context, entry platform.GatewayRegistration) bool {
	for {
		err := g.store.Register(ctx, entry)
		if err == nil {
			return true
		}
		g.Log.Warn("gateway registration failed", zap.Error(err))
		if !loop.Sleep(ctx, registerRetryDelay) {
			return false
		}
	}
}

// learnRegistered adds the gateways that are registered in the store.
func (g *Gateway) learnRegistered(ctx context.Context) {
	listed, err := g.store.Gateways(ctx)
	if err != nil {
		g.Log.Warn("listing gateways failed", zap.Error(err))
	}
	var addresses []peering.Address
	for _, l := range listed {
		addresses = append(addresses, peering.Address{Gateway: l.Name, Zone: l.Zone, Address: l.Address})
	}
	g.control.Do(func(s *state) { s.members.AddAddresses(addresses, false, g.Now()) })
}
