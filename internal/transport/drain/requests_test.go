package drain_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/transport/drain"
)

func ExampleRequests() {
	var requests drain.Requests
	ctx, end := requests.Context(context.Background())
	defer end()
	requests.End()
	<-ctx.Done()
	fmt.Println(context.Cause(ctx))
	// Output: drain: the process ends
}

// TestRequestsEndWithTheirCallersToo checks that a request that its caller has left does
// not seem to have ended with the process.
func TestRequestsEndWithTheirCallersToo(t *testing.T) {
	var requests drain.Requests
	caller, leave := context.WithCancel(t.Context())
	ctx, end := requests.Context(caller)
	defer end()
	leave()
	<-ctx.Done()
	requests.End()
	qt.Check(t, context.Cause(ctx), qt.Equals, context.Canceled)
	qt.Check(t, requests.Ended(), qt.IsTrue)
	late, end := requests.Context(t.Context())
	defer end()
	<-late.Done()
	qt.Check(t, context.Cause(late), qt.Equals, drain.ErrEnded)
}
