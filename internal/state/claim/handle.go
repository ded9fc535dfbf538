package claim

import (
	"context"
	"errors"

	"lovageport.example/internal/state/store"
)

// Handle is a claim held by this entry.
type Handle struct {
	manager *Manager
	key     string
	version int64
	claim   Claim
}

// ignoreConflict returns nil for a conflict and err otherwise. A conflict means
// that the claim has been changed since, so that the write no longer applies.
func ignoreConflict(err error) error {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// MaySend reports whether the call may be sent now. It must be called right
// before the first byte is sent, since the process may have been paused after the
// claim was acquired. Both the monotonic and the wall clock are checked, since a
// pause of the VM may stop either.
func (h *Handle) MaySend() bool {
	remaining := h.claim.Deadline.Sub(h.manager.now())
	wallRemaining := h.claim.Deadline.Round(0).Sub(h.manager.now().Round(0))
	return min(remaining, wallRemaining) > sendMargin
}

// Release gives up the claim, so that the call may be claimed again. The call
// must certainly not have run.
func (h *Handle) Release(ctx context.Context) { h.finish(ctx, Released, nil) }

// MarkLost records that the call may have run and that its answer is lost.
func (h *Handle) MarkLost(ctx context.Context) { h.finish(ctx, Lost, nil) }

// StoreAnswer stores the answer of the call for repeated calls. A body larger
// than MaxStoredBodyBytes is omitted.
func (h *Handle) StoreAnswer(ctx context.Context, answer Answer) {
	if len(answer.Body) > MaxStoredBodyBytes {
		answer.Body = nil
		answer.Omitted = true
	}
	h.finish(ctx, Answered, &answer)
}

// finish writes the final state of the claim. If the write fails, it is retried
// later.
func (h *Handle) finish(ctx context.Context, state State, answer *Answer) {
	claim := h.claim
	claim.State = state
	claim.Answer = answer
	write := func(ctx context.Context) error {
		_, err := h.manager.write(ctx, h.key, claim, h.version)
		return ignoreConflict(err)
	}
	if err := write(ctx); err != nil && h.manager.RetryLater != nil {
		h.manager.RetryLater(write)
	}
}
