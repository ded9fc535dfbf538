// Package exchange sends one request to one upstream and reads its answer.
//
// It keeps connections, but unlike net/http's Transport it never sends a
// request a second time by itself: whoever asks for an exchange learns whether
// the request can have reached the upstream, and decides. A kept connection on
// which bytes have arrived unasked is closed, so that they can never be taken
// for an answer.
package exchange
