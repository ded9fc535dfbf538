package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	standinservice "lovageport.example/internal/standin/service"
	"lovageport.example/pkg/declaration"
)

// stock sends a call that may be repeated, with a timeout unless that is empty.
func (f *fleet) stock(entry, timeout string) callResult {
	request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+address(entry, 1)+"/services/"+testService+"/stock/roses", nil)
	qt.Assert(f.t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+testKey)
	if timeout != "" {
		request.Header.Set("Lovageport-Timeout", timeout)
	}
	got := f.send(request, false)
	got.complete = got.status == http.StatusOK
	return got
}

// TestUpstreamIsNotBlamedForShortTimeout guards against an upstream that is taken
// out of use because a caller waited for less time than the service may take.
func TestUpstreamIsNotBlamedForShortTimeout(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for _, s := range f.services {
			s.SetFaults(standinservice.Faults{Delay: 200 * time.Millisecond})
		}
		for range 6 {
			got := f.stock("wien-entry", "50ms")
			qt.Check(t, got.complete, qt.IsFalse)
		}
		for name := range f.entries {
			for _, zone := range testZones {
				qt.Check(t, f.upstreamState(name, zone+"-service"), qt.Equals, "in_service", qt.Commentf("%s at %s", zone, name))
			}
		}
	}, func(f *fleet) { f.set.Services[0].Timeout = declaration.Span(2 * time.Second) })
}

// TestHangingServiceIsAvoided checks that a service which answers nothing within its
// own timeout gets no calls for a time.
func TestHangingServiceIsAvoided(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.services["wien-service"].SetFaults(standinservice.Faults{Hang: true})
		qt.Check(t, f.stock("wien-entry", "").complete, qt.IsFalse)
		qt.Check(t, f.upstreamState("wien-entry", "wien-service"), qt.Equals, "ejected")
	}, func(f *fleet) { f.set.Services[0].Timeout = declaration.Span(2 * time.Second) })
}
