// Package claim makes a call that may not be repeated run at most once, over
// all entries.
//
// The caller's idempotency key, scoped to its client account, names an object
// in the platform that is created only if absent. The entry whose nonce stands
// in it may send the call, once, before the claim's deadline. No claim is ever
// taken over: if its entry dies, a repeat is told that the call may have run.
// A claim is released only by its own entry, and only when the call certainly
// did not run.
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

// Bounds of claims.
const (
	// Prefix starts the key of every claim.
	Prefix = "claims/"
	// Retention is how long a claim and its answer are kept. A key sent again
	// later than that runs again.
	Retention = 24 * time.Hour
	// MaxStoredBody bounds the answers that are kept for a repeat.
	MaxStoredBody = 256 << 10
	// sendMargin is what must be left of a claim for the call to be sent.
	sendMargin = 100 * time.Millisecond
	// platformWait is when a caller is told to come back after an outage.
	platformWait = 2 * time.Second
)

// State is how far a claimed call has come.
type State string

// The states of a claim.
const (
	// Claimed says that the call is about to be sent or under way.
	Claimed State = "claimed"
	// Answered says that the call ran; its answer is kept.
	Answered State = "answered"
	// Released says that the call did not run and may be claimed anew.
	Released State = "released"
	// Lost says that the call may have run and no answer will come.
	Lost State = "lost"
)

// Claim is the stored object.
type Claim struct {
	Nonce    string
	Entry    string
	BodyHash string
	State    State
	Taken    time.Time
	// Deadline is when the call is no longer sent.
	Deadline time.Time
	// Timeout is how long the call may take from Deadline on.
	Timeout time.Duration
	Answer  *Answer `json:",omitempty"`
}

// Check says whether c makes sense.
func (c *Claim) Check() error {
	switch c.State {
	case Claimed, Released, Lost:
	case Answered:
		if c.Answer == nil {
			return errors.New("claim: answered without answer")
		}
	default:
		return fmt.Errorf("claim: unknown state %q", c.State)
	}
	if c.Nonce == "" {
		return errors.New("claim: without nonce")
	}
	return nil
}

// Answer is what the service answered.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Omitted says that the body was too large to keep.
	Omitted bool `json:",omitempty"`
}

// Key returns the object key of a client account's idempotency key.
func Key(account, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + idempotencyKey))
	name := hex.EncodeToString(sum[:])
	return Prefix + name[:2] + "/" + name
}

// BodyHash returns the hash by which a repeat is recognised as the same call.
func BodyHash(method, path string, body []byte) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%q %q\n", method, path)
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// Claims takes claims for one entry.
type Claims struct {
	Objects store.Objects
	Entry   string
	// Nonce returns a text unlike any other.
	Nonce func() string
	// Now returns the time; the wall clock if nil.
	Now func() time.Time
	// Later is given work that must be tried until it succeeds, such as the
	// release of a claim while the platform is down. It may be nil.
	Later func(work func(ctx context.Context) error)
}

func (c *Claims) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

// Held is a claim that this entry holds.
type Held struct {
	claims  *Claims
	key     string
	version int64
	claim   Claim
}

// Take claims the call. Without a Held and without an error, the call ran
// before and the stored answer is returned. window is how long the call may
// wait before it is sent, timeout how long it may take then.
func (c *Claims) Take(ctx context.Context, key, bodyHash string, window, timeout time.Duration) (*Held, *Answer, error) {
	now := c.now()
	claim := Claim{
		Nonce:    c.Nonce(),
		Entry:    c.Entry,
		BodyHash: bodyHash,
		State:    Claimed,
		Taken:    now,
		Deadline: now.Add(window),
		Timeout:  timeout,
	}
	version, err := c.write(ctx, key, claim, 0)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return c.takeExisting(ctx, key, claim, conflict.Version)
	}
	if err != nil {
		return nil, nil, c.refuseUnwritten(key, claim, 0, err)
	}
	return &Held{c, key, version, claim}, nil, nil
}

// takeExisting decides what a claim that is already there means.
func (c *Claims) takeExisting(ctx context.Context, key string, claim Claim, atLeast int64) (*Held, *Answer, error) {
	found, err := c.Objects.GetAtLeast(ctx, key, atLeast)
	if err != nil {
		// The call of this attempt was not sent, but an earlier one with the
		// same key may have been.
		return nil, nil, earlierMayHaveRun(verdict.PlatformDown, platformWait, "the claim of this key can't be read")
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
		return c.takeReleased(ctx, key, claim, found.Version)
	}
	end := stored.Deadline.Add(stored.Timeout)
	if left := end.Sub(c.now()); left > 0 {
		return nil, nil, earlierMayHaveRun(verdict.ClaimHeld, left, "this call is under way")
	}
	return nil, nil, earlierMayHaveRun(verdict.ClaimLapsed, 0, "this call was under way when its entry was lost")
}

func earlierMayHaveRun(reason verdict.Reason, wait time.Duration, message string) error {
	return &verdict.Error{Run: verdict.MayHaveRun, Reason: reason, Message: message, RetryAfter: wait}
}

// takeReleased claims a call that an earlier attempt released.
func (c *Claims) takeReleased(ctx context.Context, key string, claim Claim, ifVersion int64) (*Held, *Answer, error) {
	version, err := c.write(ctx, key, claim, ifVersion)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil, nil, earlierMayHaveRun(verdict.ClaimHeld, time.Second, "this call is under way")
	}
	if err != nil {
		return nil, nil, c.refuseUnwritten(key, claim, ifVersion, err)
	}
	return &Held{c, key, version, claim}, nil, nil
}

// refuseUnwritten refuses a call whose claim could not be written. Nothing was
// sent, and nothing will be: the nonce is forgotten. If the claim may stand in
// the platform all the same, it is released later.
func (c *Claims) refuseUnwritten(key string, claim Claim, ifVersion int64, err error) error {
	var unsent *store.NotSentError
	if !errors.As(err, &unsent) && c.Later != nil {
		c.Later(func(ctx context.Context) error { return c.releaseStray(ctx, key, claim, ifVersion) })
	}
	refusal := verdict.RefuseUntil(platformWait, verdict.PlatformDown, "no claim could be stored, so this call was not sent; whether an earlier one with its key ran is not known")
	refusal.Err = err
	return refusal
}

// releaseStray releases a claim whose write on top of version ifVersion had an
// unknown outcome. An error says that it must be tried again.
func (c *Claims) releaseStray(ctx context.Context, key string, claim Claim, ifVersion int64) error {
	found, err := c.Objects.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if found.Version > ifVersion {
		stored, err := decode(found.Value)
		if err != nil || stored.Nonce != claim.Nonce || stored.State != Claimed {
			return nil
		}
	}
	// The lost write may also still be on its way: a released claim in its
	// place makes its condition fail.
	claim.State = Released
	_, err = c.write(ctx, key, claim, found.Version)
	return err
}

func ignoreConflict(err error) error {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

func (c *Claims) write(ctx context.Context, key string, claim Claim, ifVersion int64) (int64, error) {
	value, err := json.Marshal(claim)
	if err != nil {
		return 0, fmt.Errorf("claim: %w", err)
	}
	return c.Objects.Settle(ctx, key, value, ifVersion)
}

func decode(value []byte) (Claim, error) {
	var claim Claim
	if err := json.Unmarshal(value, &claim); err != nil {
		return claim, fmt.Errorf("claim: %w", err)
	}
	return claim, claim.Check()
}

// MaySend says whether the call may be sent now. It is asked right before the
// first byte: the process may have been paused since the claim was taken. Both
// clocks are asked, since a paused VM may stop one of them.
func (h *Held) MaySend() bool {
	left := h.claim.Deadline.Sub(h.claims.now())
	wallLeft := h.claim.Deadline.Round(0).Sub(h.claims.now().Round(0))
	return min(left, wallLeft) > sendMargin
}

// Release gives the claim back. The call must certainly not have run.
func (h *Held) Release(ctx context.Context) { h.finish(ctx, Released, nil) }

// Lose notes that the call may have run and that no answer will come.
func (h *Held) Lose(ctx context.Context) { h.finish(ctx, Lost, nil) }

// Answer keeps the answer of the call for a repeat.
func (h *Held) Answer(ctx context.Context, answer Answer) {
	if len(answer.Body) > MaxStoredBody {
		answer.Body = nil
		answer.Omitted = true
	}
	h.finish(ctx, Answered, &answer)
}

func (h *Held) finish(ctx context.Context, state State, answer *Answer) {
	claim := h.claim
	claim.State = state
	claim.Answer = answer
	write := func(ctx context.Context) error {
		_, err := h.claims.write(ctx, h.key, claim, h.version)
		return ignoreConflict(err)
	}
	if err := write(ctx); err != nil && h.claims.Later != nil {
		h.claims.Later(write)
	}
}

// Sweep removes the claims of one of the 256 parts of the keys that are older
// than Retention, and returns how many.
func (c *Claims) Sweep(ctx context.Context, part byte) (int, error) {
	keys, err := c.Objects.List(ctx, fmt.Sprintf("%s%02x/", Prefix, part))
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, key := range keys {
		if !strings.HasPrefix(key, Prefix) {
			continue
		}
		found, err := c.Objects.Get(ctx, key)
		if err != nil {
			return removed, err
		}
		claim, err := decode(found.Value)
		if err != nil || c.now().Sub(claim.Taken) < Retention {
			continue
		}
		if err := c.Objects.Delete(ctx, key, found.Version); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}
