package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"lovageport.example/internal/coordination/dispatch"
	"lovageport.example/internal/coordination/quarantine"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/internal/state/claim"
	"lovageport.example/internal/transport/caller"
	"lovageport.example/internal/transport/upstream"
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// Times of calls that may not be repeated.
const (
	// claimWindow is how long after its claim a call may still be sent.
	claimWindow = 5 * time.Second
	// recordTimeout bounds the first try to record how a call ended.
	recordTimeout = time.Second
)

// invoke calls a plain service.
func (e *Entry) invoke(ctx context.Context, i *caller.InvokeRequest) (*caller.InvokeResponse, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	service, pool, ok := e.control.view.Load().catalog.Service(i.Service)
	if !ok {
		return nil, verdict.Refuse(verdict.UnknownRoute, "no service %q", i.Service)
	}
	operation, ok := catalog.FindOperation(service, i.Method, i.Path)
	if !ok {
		return nil, verdict.Refuse(verdict.UnknownRoute, "service %q has no operation %s %s", i.Service, i.Method, i.Path)
	}
	if !operation.Repeatable && i.IdempotencyKey == "" {
		return nil, verdict.Refuse(verdict.KeyMissing, "%s %s may not be repeated; send %s", i.Method, i.Path, caller.IdempotencyKeyHeader)
	}
	timeout := min(i.Timeout, service.Timeout.Duration)
	content := fmt.Appendf(nil, "%s %s?%s %s", i.Method, i.Path, i.Query, i.Body)
	c := &call{
		entry:     e,
		callerCtx: ctx,
		caller:    i,
		service:   service,
		operation: operation,
		timeout:   timeout,
		placer: e.newPlacer(&dispatch.Request{
			ID:          i.RequestID,
			Pool:        pool.Name,
			Account:     i.Account,
			Fingerprint: quarantine.Fingerprint(i.Account.Name, pool.Name, content),
			Cost:        1,
		}, timeout),
	}
	if err := c.placer.open(); err != nil {
		return nil, err
	}
	defer c.placer.close()
	if operation.Repeatable {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return c.run(ctx)
	}
	// Once it is sent, such a call goes on without its caller, so that its
	// answer is there for a repeat.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	return c.runOnce(ctx)
}

// call is one call of a plain service, over as many attempts as it takes.
type call struct {
	entry  *Entry
	caller *caller.InvokeRequest
	// callerCtx ends when the caller goes.
	callerCtx context.Context
	service   *declaration.Service
	operation declaration.Operation
	timeout   time.Duration
	placer    *placer
	// held is the claim of a call that may not be repeated.
	held *claim.Handle
	// mayHaveRun says that an attempt that failed may have run.
	mayHaveRun bool
}

// runOnce claims a call that may not be repeated, runs it, and records how it
// ended.
func (c *call) runOnce(ctx context.Context) (*caller.InvokeResponse, error) {
	key := claim.Key(c.caller.Account.Name, c.caller.IdempotencyKey)
	hash := claim.BodyHash(c.caller.Method, c.caller.Service+c.caller.Path+"?"+c.caller.Query, c.caller.Body)
	held, answer, err := c.entry.claims.Acquire(ctx, key, hash, min(claimWindow, c.timeout), c.timeout)
	if err != nil {
		return nil, err
	}
	if held == nil {
		return replay(answer)
	}
	c.held = held
	reply, err := c.run(ctx)
	record, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switch {
	case err == nil:
		held.StoreAnswer(record, claim.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body})
	case verdict.Of(err).Run == verdict.NotRun:
		held.Release(record)
	default:
		held.MarkLost(record)
	}
	return reply, err
}

// replay answers a repeat.
func replay(answer *claim.Answer) (*caller.InvokeResponse, error) {
	if answer.Omitted {
		return nil, &verdict.Error{Run: verdict.Ran, Reason: verdict.AnswerTooLarge, Message: "this call ran; its answer was too large to keep"}
	}
	return &caller.InvokeResponse{
		Response: upstream.Response{Status: answer.Status, Header: answer.Header, Body: answer.Body},
		Verdict:  ranBy(answer.Status),
		Replayed: true,
	}, nil
}

// ranBy returns the verdict of an answered call: a server error does not say
// how far the call came.
func ranBy(status int) verdict.Run {
	if status >= http.StatusInternalServerError {
		return verdict.MayHaveRun
	}
	return verdict.Ran
}

// run makes attempts until one is answered, or may not be made again.
func (c *call) run(ctx context.Context) (*caller.InvokeResponse, error) {
	for {
		place, err := c.placer.place(ctx)
		if err != nil {
			return nil, c.final(err)
		}
		answer, err := c.attempt(ctx, place)
		c.placer.finish(ctx, place, c.outcome(err))
		if err == nil {
			return &caller.InvokeResponse{Response: *answer, Verdict: ranBy(answer.Status)}, nil
		}
		e := verdict.Of(err)
		c.mayHaveRun = c.mayHaveRun || e.Run != verdict.NotRun
		c.placer.logFailure(place, e)
		if c.mayHaveRun && !c.operation.Repeatable || e.Reason == verdict.ClaimLapsed || e.Reason == verdict.CallerGone {
			return nil, c.final(e)
		}
		if gone := goneError(ctx, e); gone != nil {
			return nil, c.final(gone)
		}
		c.entry.metrics.retries.WithLabelValues(string(e.Reason)).Inc()
	}
}

// final gives a refusal the verdict over all attempts.
func (c *call) final(err error) error {
	e := *verdict.Of(err)
	if c.mayHaveRun {
		e.Run = verdict.MayHaveRun
	}
	return &e
}

func (c *call) attempt(ctx context.Context, place dispatch.Placement) (*upstream.Response, error) {
	target := place.Chain[0].Upstream
	path := c.caller.Path
	if c.caller.Query != "" {
		path += "?" + c.caller.Query
	}
	return c.entry.services.Do(ctx, &upstream.ServiceCall{
		Upstream:      target.Name,
		Address:       target.Address,
		Method:        c.caller.Method,
		Path:          path,
		Header:        c.caller.Header,
		Body:          c.caller.Body,
		Attempt:       fmt.Sprintf("%s-%d", c.caller.RequestID, c.placer.request.Attempts),
		Repeatable:    c.operation.Repeatable,
		EchoesAttempt: c.service.EchoesAttempt,
		BeforeSend:    func() error { return c.maySend(place) },
	})
}

// maySend is asked right before the first byte.
func (c *call) maySend(place dispatch.Placement) error {
	if !c.entry.mayUse(place.Chain) {
		return verdict.Refuse(verdict.UpstreamWithdrawn, "the upstream was withdrawn")
	}
	if c.callerCtx.Err() != nil {
		return verdict.Refuse(verdict.CallerGone, "the caller has gone")
	}
	if c.held != nil && !c.held.MaySend() {
		return verdict.RefuseUntil(time.Second, verdict.ClaimLapsed, "the claim of this call lapsed before it was sent")
	}
	return nil
}

// outcome tells the dispatcher how an attempt ended.
func (c *call) outcome(err error) dispatch.Outcome {
	if err == nil {
		return dispatch.Outcome{Fault: dispatch.None}
	}
	e := verdict.Of(err)
	outcome := dispatch.Outcome{Fault: dispatch.Abandoned, Upstream: e.Upstream}
	switch e.Reason {
	case verdict.UpstreamRefused:
		outcome.Fault = dispatch.Unreachable
	case verdict.UpstreamLost:
		outcome.Fault = dispatch.ConnectionLost
	case verdict.UpstreamProtocol:
		outcome.Fault = dispatch.Protocol
	case verdict.UpstreamSilent:
		outcome.Fault = dispatch.Silent
	}
	if errors.Is(err, context.Canceled) {
		// The caller has gone; the upstream did nothing wrong.
		outcome.Fault = dispatch.Abandoned
	}
	return outcome
}
