// Package claim ensures that a call that must not be repeated runs at most once,
// even if several entries, the processes on the entry VMs, receive it.
//
// The caller's idempotency key, scoped to its client account, names an object in
// the platform's object API that is created only if it does not exist. The entry
// whose nonce the object holds may send the call, once, before the claim's
// deadline. A claim never passes to another entry: if its entry dies, a repeated
// call is refused with the verdict that the call may have run. Only the entry
// that holds a claim may release it, and only if the call certainly did not run.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"lovageport.example/internal/state/store"
	"lovageport.example/pkg/verdict"
)

// Limits of claims.
const (
	// Prefix is the prefix of the object key of every claim.
	Prefix = "claims/"
	// Retention is how long a claim and its answer are kept. A call that is
	// repeated later than that runs again.
	Retention = 24 * time.Hour
	// MaxStoredBodyBytes bounds the body of a stored answer. A larger body is
	// omitted, see [Answer].
	MaxStoredBodyBytes = 256 << 10
	// sendMargin is the time that must remain until the deadline of a claim
	// for its call to be sent.
	sendMargin = 100 * time.Millisecond
	// platformRetryAfter is the retry delay given to callers while the
	// platform is unavailable.
	platformRetryAfter = 2 * time.Second
)

// State is the progress of a claimed call.
type State string

// The states of a claim.
const (
	// Claimed means that the call is about to be sent or is in progress.
	Claimed State = "claimed"
	// Answered means that the call ran and its answer is stored.
	Answered State = "answered"
	// Released means that the call did not run and may be claimed again.
	Released State = "released"
	// Lost means that the call may have run and its answer is lost.
	Lost State = "lost"
)

// Claim is the stored state of a call, encoded in JSON.
type Claim struct {
	// Nonce identifies the attempt to acquire the claim that succeeded.
	Nonce string
	// Entry is the name of the entry that holds the claim.
	Entry string
	// BodyHash identifies the call, see [BodyHash].
	BodyHash string
	State    State
	// Taken is when the claim was acquired.
	Taken time.Time
	// Deadline is the time after which the call must not be sent.
	Deadline time.Time
	// Timeout bounds how long the call may run once it was sent, so that it has
	// ended by Deadline plus Timeout.
	Timeout time.Duration
	// Answer is set if State is Answered.
	Answer *Answer `json:",omitempty"`
}

// Check returns an error if c has no nonce, an unknown state, or no answer
// although it is answered.
func (c *Claim) Check() error {
	switch c.State {
	case Claimed, Released, Lost:
	case Answered:
		if c.Answer == nil {
			return errors.New("claim: state is answered but there is no answer")
		}
	default:
		return fmt.Errorf("claim: unknown state %q", c.State)
	}
	if c.Nonce == "" {
		return errors.New("claim: nonce is missing")
	}
	return nil
}

// Answer is the service's answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Omitted reports that Body is missing because it exceeded
	// MaxStoredBodyBytes.
	Omitted bool `json:",omitempty"`
}

// Key returns the object key of a client account's idempotency key.
func Key(account, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + idempotencyKey))
	name := hex.EncodeToString(sum[:])
	return Prefix + name[:2] + "/" + name
}

// BodyHash returns a hash of a call. It distinguishes a repeated call from another
// call that reuses its idempotency key.
func BodyHash(method, path string, body []byte) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%q %q\n", method, path)
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// Manager acquires claims on behalf of one entry.
type Manager struct {
	Objects store.ObjectAPI
	// Entry is the name of the entry.
	Entry string
	// Nonce returns a string that is unique for each call.
	Nonce func() string
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// RetryLater schedules work to be retried until it returns nil, such as
	// the release of a claim while the platform is unavailable. If it is nil,
	// such work is dropped.
	RetryLater func(work func(ctx context.Context) error)
}

func (m *Manager) now() time.Time {
	if m.Now == nil {
		return time.Now()
	}
	return m.Now()
}

// Handle is a claim held by this entry.
type Handle struct {
	manager *Manager
	key     string
	version int64
	claim   Claim
}

// Acquire claims a call. It returns a Handle if the call may be sent, or the
// stored answer if the call has run before. The call must be sent within window
// and may then take as long as timeout. The error is a [verdict.Error].
func (m *Manager) Acquire(ctx context.Context, key, bodyHash string, window, timeout time.Duration) (*Handle, *Answer, error) {
	now := m.now()
	claim := Claim{
		Nonce:    m.Nonce(),
		Entry:    m.Entry,
		BodyHash: bodyHash,
		State:    Claimed,
		Taken:    now,
		Deadline: now.Add(window),
		Timeout:  timeout,
	}
	version, err := m.write(ctx, key, claim, 0)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return m.resolveExisting(ctx, key, claim, conflict.Version)
	}
	if err != nil {
		return nil, nil, m.refuseUnwritten(key, claim, 0, err)
	}
	return &Handle{m, key, version, claim}, nil, nil
}

// resolveExisting returns the outcome for a call whose claim exists already with
// version atLeast or a later one.
func (m *Manager) resolveExisting(ctx context.Context, key string, claim Claim, atLeast int64) (*Handle, *Answer, error) {
	found, err := m.Objects.GetAtLeast(ctx, key, atLeast)
	if err != nil {
		// This call was not sent, but an earlier one with the same key may
		// have been.
		return nil, nil, earlierMayHaveRun(verdict.PlatformDown, platformRetryAfter, "the claim of this key can't be read")
	}
	stored, err := decode(found.Value)
	if err != nil {
		return nil, nil, earlierMayHaveRun(verdict.ClaimOutcomeLost, 0, "the claim of this key can't be understood")
	}
	if stored.BodyHash != claim.BodyHash {
		return nil, nil, verdict.Refuse(verdict.KeyReused, "this idempotency key was used for another call")
	}
	switch stored.State {
	case Answered:
		return nil, stored.Answer, nil
	case Lost:
		return nil, nil, earlierMayHaveRun(verdict.ClaimOutcomeLost, 0, "the outcome of this call is lost")
	case Released:
		return m.acquireReleased(ctx, key, claim, found.Version)
	}
	end := stored.Deadline.Add(stored.Timeout)
	if remaining := end.Sub(m.now()); remaining > 0 {
		return nil, nil, earlierMayHaveRun(verdict.ClaimHeld, remaining, "this call is under way")
	}
	return nil, nil, earlierMayHaveRun(verdict.ClaimLapsed, 0, "this call was under way when its entry was lost")
}

// earlierMayHaveRun returns an error for a call that was not sent because an
// earlier call with its key may have run.
func earlierMayHaveRun(reason verdict.Reason, wait time.Duration, message string) error {
	return &verdict.Error{Run: verdict.MayHaveRun, Reason: reason, Message: message, RetryAfter: wait}
}

// acquireReleased claims a call whose claim was released and has version
// ifVersion.
func (m *Manager) acquireReleased(ctx context.Context, key string, claim Claim, ifVersion int64) (*Handle, *Answer, error) {
	version, err := m.write(ctx, key, claim, ifVersion)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil, nil, earlierMayHaveRun(verdict.ClaimHeld, time.Second, "this call is under way")
	}
	if err != nil {
		return nil, nil, m.refuseUnwritten(key, claim, ifVersion, err)
	}
	return &Handle{m, key, version, claim}, nil, nil
}

// refuseUnwritten returns the error for a call whose claim could not be written.
// The call is not sent, and since the nonce is discarded it never will be. If the
// write may have taken effect all the same, the claim is released later.
func (m *Manager) refuseUnwritten(key string, claim Claim, ifVersion int64, err error) error {
	var unsent *store.NotSentError
	if !errors.As(err, &unsent) && m.RetryLater != nil {
		m.RetryLater(func(ctx context.Context) error { return m.releaseUncertain(ctx, key, claim, ifVersion) })
	}
	refusal := verdict.RefuseUntil(platformRetryAfter, verdict.PlatformDown, "no claim could be stored, so this call was not sent; whether an earlier one with its key ran is not known")
	refusal.Err = err
	return refusal
}

// releaseUncertain releases a claim whose write on top of version ifVersion had
// an unknown outcome. It must be called again if it returns an error.
func (m *Manager) releaseUncertain(ctx context.Context, key string, claim Claim, ifVersion int64) error {
	found, err := m.Objects.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if found.Version > ifVersion {
		stored, err := decode(found.Value)
		if err != nil || stored.Nonce != claim.Nonce || stored.State != Claimed {
			return nil
		}
	}
	// The write may also still be in flight. Writing the released claim first
	// makes the condition of that write fail.
	claim.State = Released
	_, err = m.write(ctx, key, claim, found.Version)
	return err
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

func (m *Manager) write(ctx context.Context, key string, claim Claim, ifVersion int64) (int64, error) {
	value, err := json.Marshal(claim)
	if err != nil {
		return 0, fmt.Errorf("claim: %w", err)
	}
	return m.Objects.PutWithRetry(ctx, key, value, ifVersion)
}

func decode(value []byte) (Claim, error) {
	var claim Claim
	if err := json.Unmarshal(value, &claim); err != nil {
		return claim, fmt.Errorf("claim: %w", err)
	}
	return claim, claim.Check()
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

// Sweep deletes the claims that are older than Retention among those whose key
// hash starts with the byte part, one 256th of all. It returns how many it
// deleted.
func (m *Manager) Sweep(ctx context.Context, part byte) (int, error) {
	keys, err := m.Objects.List(ctx, fmt.Sprintf("%s%02x/", Prefix, part))
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, key := range keys {
		if !strings.HasPrefix(key, Prefix) {
			continue
		}
		found, err := m.Objects.Get(ctx, key)
		if err != nil {
			return removed, err
		}
		claim, err := decode(found.Value)
		if err != nil || m.now().Sub(claim.Taken) < Retention {
			continue
		}
		if err := m.Objects.Delete(ctx, key, found.Version); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}
