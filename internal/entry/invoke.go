package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lovageport.example/internal/coordination/dispatch"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/internal/state/claim"
	"lovageport.example/internal/transport/caller"
	"lovageport.example/internal/transport/upstream"
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// Time limits of calls that may not be repeated.
const (
	// claimWindow is how long after acquiring its claim a call may be sent.
	claimWindow = 5 * time.Second
	// recordTimeout bounds the first attempt to record the outcome of a call.
	recordTimeout = time.Second
	// blameShare is the share of its service's timeout that an upstream must have
	// had to be at fault for a call without an answer. The rest is for the queue.
	blameShare = 0.9
)

// invoke serves a call of a plain service.
func (e *Entry) invoke(ctx context.Context, request *caller.InvokeRequest) (*caller.InvokeResponse, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	service, pool, ok := e.control.view.Load().catalog.Service(request.Service)
	if !ok {
		return nil, verdict.Refuse(verdict.UnknownRoute, "no service %q", request.Service)
	}
	operation, ok := catalog.FindOperation(service, request.Method, request.Path)
	if !ok {
		return nil, verdict.Refuse(verdict.UnknownRoute, "service %q has no operation %s %s", request.Service, request.Method, request.Path)
	}
	if !operation.Repeatable && request.IdempotencyKey == "" {
		return nil, verdict.Refuse(verdict.KeyMissing, "%s %s may not be repeated; send %s", request.Method, request.Path, caller.IdempotencyKeyHeader)
	}
	timeout := min(request.Timeout, service.Timeout.Duration)
	content := fmt.Appendf(nil, "%s %s?%s %s", request.Method, request.Path, request.Query, request.Body)
	c := &serviceCall{
		entry:      e,
		callerCtx:  ctx,
		request:    request,
		service:    service,
		operation:  operation,
		timeout:    timeout,
		placements: e.newPlacementClient(request.RequestID, request.Account, pool, content, 1, timeout),
	}
	if err := c.placements.open(); err != nil {
		return nil, err
	}
	defer c.placements.close()
	if !operation.Repeatable {
		// Once sent, such a call continues even if its caller disconnects, so
		// that its answer can be replayed when the caller repeats it.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, end := e.requests.Context(ctx)
	defer end()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if operation.Repeatable {
		return c.run(ctx)
	}
	return c.runClaimed(ctx)
}

// serviceCall is one call of a plain service, over as many attempts as needed.
type serviceCall struct {
	entry   *Entry
	request *caller.InvokeRequest
	// callerCtx ends when the caller disconnects.
	callerCtx  context.Context
	service    *declaration.Service
	operation  declaration.Operation
	timeout    time.Duration
	placements *placementClient
	// claimHandle is the claim of a call that may not be repeated, otherwise nil.
	claimHandle *claim.Handle
	// mayHaveRun reports whether a failed attempt may have been executed.
	mayHaveRun bool
}

// runClaimed runs a call that may not be repeated: it acquires the claim, makes
// the call and records the outcome. If an earlier call with the same key has
// finished, it replays that call's answer instead.
func (c *serviceCall) runClaimed(ctx context.Context) (*caller.InvokeResponse, error) {
	key := claim.Key(c.request.Account.Name, c.request.IdempotencyKey)
	hash := claim.BodyHash(c.request.Method, c.request.Service+c.request.Path+"?"+c.request.Query, c.request.Body)
	handle, answer, err := c.entry.claims.Acquire(ctx, key, hash, min(claimWindow, c.timeout), c.timeout)
	if err != nil {
		return nil, err
	}
	if handle == nil {
		return replayAnswer(answer)
	}
	c.claimHandle = handle
	reply, err := c.run(ctx)
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switch {
	case err == nil:
		handle.StoreAnswer(recordCtx, claim.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body})
	case verdict.Of(err).Run == verdict.NotRun:
		handle.Release(recordCtx)
	default:
		handle.MarkLost(recordCtx)
	}
	return reply, err
}

// replayAnswer returns the stored answer of an earlier call.
func replayAnswer(answer *claim.Answer) (*caller.InvokeResponse, error) {
	if answer.Omitted {
		return nil, &verdict.Error{Run: verdict.Ran, Reason: verdict.AnswerTooLarge, Message: "this call ran; its answer was too large to keep"}
	}
	return &caller.InvokeResponse{
		Response: upstream.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body},
		Verdict:  runVerdict(answer.Status),
		Replayed: true,
	}, nil
}

// runVerdict returns the verdict of an answered call. After a server error (5xx)
// it is unknown whether the call took effect.
func runVerdict(status int) verdict.Run {
	if status >= http.StatusInternalServerError {
		return verdict.MayHaveRun
	}
	return verdict.Ran
}

// run makes attempts until one is answered or the call may not be tried again.
func (c *serviceCall) run(ctx context.Context) (*caller.InvokeResponse, error) {
	for {
		placement, err := c.placements.acquire(ctx)
		if err != nil {
			return nil, c.finalError(err)
		}
		begin := time.Now()
		answer, err := c.attempt(ctx, placement)
		c.placements.finish(ctx, placement, c.classifyOutcome(ctx, err, c.entry.running(begin, time.Now())))
		if err == nil {
			return &caller.InvokeResponse{Response: *answer, Verdict: runVerdict(answer.Status)}, nil
		}
		e := verdict.Of(err)
		c.mayHaveRun = c.mayHaveRun || e.Run != verdict.NotRun
		c.placements.logFailure(placement, e)
		if c.mayHaveRun && !c.operation.Repeatable || e.Reason == verdict.ClaimLapsed || e.Reason == verdict.CallerGone || e.Reason == verdict.AnswerMemoryFull {
			return nil, c.finalError(e)
		}
		if ended := contextError(ctx, e); ended != nil {
			return nil, c.finalError(ended)
		}
		c.entry.metrics.retries.WithLabelValues(string(e.Reason)).Inc()
	}
}

// finalError returns err with the verdict over all attempts.
func (c *serviceCall) finalError(err error) error {
	e := *verdict.Of(err)
	if c.mayHaveRun {
		e.Run = verdict.MayHaveRun
	}
	return &e
}

func (c *serviceCall) attempt(ctx context.Context, placement dispatch.Placement) (*upstream.Response, error) {
	target := placement.Chain[0].Upstream
	path := c.request.Path
	if c.request.Query != "" {
		path += "?" + c.request.Query
	}
	return c.entry.serviceClient.Do(ctx, &upstream.ServiceCall{
		Upstream:      target.Name,
		Address:       target.Address,
		Method:        c.request.Method,
		Path:          path,
		Header:        c.request.Header,
		Body:          c.request.Body,
		Attempt:       fmt.Sprintf("%s-%d", c.request.RequestID, c.placements.request.Attempts),
		Repeatable:    c.operation.Repeatable,
		EchoesAttempt: c.service.EchoesAttempt,
		BeforeSend:    func() error { return c.checkSendAllowed(placement) },
	})
}

// checkSendAllowed returns an error if the call may no longer be sent. It is
// called immediately before the first byte.
func (c *serviceCall) checkSendAllowed(placement dispatch.Placement) error {
	if !c.entry.chainAvailable(placement.Chain) {
		return verdict.Refuse(verdict.UpstreamWithdrawn, "the upstream was withdrawn")
	}
	if c.callerCtx.Err() != nil {
		return verdict.Refuse(verdict.CallerGone, "the caller has gone")
	}
	if c.claimHandle != nil && !c.claimHandle.MaySend() {
		return verdict.RefuseUntil(time.Second, verdict.ClaimLapsed, "the claim of this call lapsed before it was sent")
	}
	return nil
}

// classifyOutcome returns the outcome of an attempt that ended with err, as the
// dispatcher needs it. ctx is the context of the call: if it has ended, an upstream
// is at fault only if it had the time that its service may take, while this process
// ran.
func (c *serviceCall) classifyOutcome(ctx context.Context, err error, took time.Duration) dispatch.Outcome {
	if err == nil {
		return dispatch.Outcome{Fault: dispatch.None}
	}
	e := verdict.Of(err)
	outcome := dispatch.Outcome{Fault: dispatch.Abandoned, Upstream: e.Upstream}
	if ctx.Err() != nil {
		if e.Reason == verdict.UpstreamSilent && took.Seconds() >= blameShare*c.service.Timeout.Seconds() {
			outcome.Fault = dispatch.Silent
		}
		return outcome
	}
	switch e.Reason {
	case verdict.UpstreamRefused:
		outcome.Fault = dispatch.Unreachable
	case verdict.ConnectTimeout:
		outcome.Fault = dispatch.ConnectTimeout
	case verdict.ConnectFailed:
		outcome.Fault = dispatch.ConnectFailed
	case verdict.UpstreamLost:
		outcome.Fault = dispatch.ConnectionLost
	case verdict.UpstreamProtocol:
		outcome.Fault = dispatch.Protocol
	}
	return outcome
}
