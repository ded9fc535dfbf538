package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/quarantine"
	"lovageport.example/internal/protocol/object"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/transport/peer"
	"lovageport.example/pkg/verdict"
)

const (
	strangerAddress = "10.8.0.1:3"
	// strangerPrompt and strangerTokens are of the request that the stranger suspects.
	strangerPrompt = "a card that is suspected"
	strangerTokens = 5
)

// suspectedRequest sends the request that the stranger suspects.
func (f *fleet) suspectedRequest() callResult {
	return f.generate(generateRequest{entry: "wien-entry", prompt: strangerPrompt, tokens: strangerTokens, stream: true})
}

// startStranger lists a process as an entry that answers the calls of peers with a
// secret: that all upstreams are down, that strangerPrompt has crashed two of them, that
// a newer configuration exists, and that it knows of no withdrawals.
func (f *fleet) startStranger(secret string) {
	listener, err := f.net.Host("stranger", "graz").Listen(f.ctx, "tcp", strangerAddress)
	qt.Assert(f.t, err, qt.IsNil)
	heartbeat := func(context.Context, *peering.Heartbeat) (*peering.Heartbeat, error) {
		answer := &peering.Heartbeat{Version: peering.Version, Secret: secret, Entry: "stranger", Zone: "graz", Address: strangerAddress, Generation: 99}
		for _, u := range f.set.Upstreams {
			answer.Deaths = append(answer.Deaths, peering.Death{Upstream: u.Name})
		}
		answer.Suspicions = []peering.Suspicion{{
			Fingerprint: quarantine.Fingerprint("shop", testModel, fmt.Appendf(nil, "%d %s", strangerTokens, strangerPrompt)),
			Crashes:     []peering.Death{{Upstream: "wien-engine-0"}, {Upstream: "graz-engine-0"}},
		}}
		return answer, nil
	}
	exchange := func(context.Context, *peering.WithdrawalExchange) (*peering.WithdrawalExchange, error) {
		return &peering.WithdrawalExchange{Version: peering.Version, Secret: secret, Entry: "stranger"}, nil
	}
	handler := &peer.Handler{Secret: "secret", Heartbeat: heartbeat, Exchange: exchange}
	f.group.Go(func() { _ = peer.Serve(f.ctx, listener, handler, func(error) {}) })
	vms := []object.VM{{Name: "stranger", Role: object.RoleEntry, Zone: "graz", Address: strangerAddress, State: object.Live}}
	f.platform.SetVMs(vms)
}

// TestAnswerOfStrangerIsNotBelieved guards against belief in the answer of a process
// that does not know the entries' secret: it listens where an entry used to.
func TestAnswerOfStrangerIsNotBelieved(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.startStranger("another")
		time.Sleep(5 * time.Second)
		for name := range f.entries {
			for _, u := range f.set.Upstreams {
				qt.Check(t, f.upstreamState(name, u.Name), qt.Equals, "in_service", qt.Commentf("%s at %s", u.Name, name))
			}
		}
		qt.Check(t, f.suspectedRequest().complete, qt.IsTrue)
		withdrawn := f.withdraw("wien-entry", "wien-engine-1")
		qt.Check(t, withdrawn.inForce, qt.Not(qt.Contains), "stranger")
	})
}

// TestPeersSuspicionIsBelieved checks that a suspicion of one that knows the secret is
// acted upon, and a death that it reports is not while the upstream answers.
func TestPeersSuspicionIsBelieved(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.startStranger("secret")
		time.Sleep(5 * time.Second)
		qt.Check(t, f.suspectedRequest().reason, qt.Equals, verdict.Quarantined)
		for name := range f.entries {
			for _, u := range f.set.Upstreams {
				qt.Check(t, f.upstreamState(name, u.Name), qt.Equals, "in_service", qt.Commentf("%s at %s", u.Name, name))
			}
		}
	})
}

// TestWithdrawalInForceOnlyWhereMerged guards against an operator who is told that a
// withdrawal is in force at an entry whose answer does not hold it.
func TestWithdrawalInForceOnlyWhereMerged(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.startStranger("secret")
		time.Sleep(3 * time.Second)
		withdrawn := f.withdraw("wien-entry", "wien-engine-1")
		qt.Check(t, withdrawn.inForce, qt.Not(qt.Contains), "stranger")
		qt.Check(t, withdrawn.notReached, qt.Contains, "stranger")
	})
}
