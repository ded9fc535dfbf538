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
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
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

func decode(value []byte) (Claim, error) {
	var claim Claim
	if err := json.Unmarshal(value, &claim); err != nil {
		return claim, fmt.Errorf("claim: %w", err)
	}
	return claim, claim.Check()
}
