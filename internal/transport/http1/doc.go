// Package http1 is a pooling HTTP/1.1 client that sends each request at most
// once.
//
// Unlike net/http's Transport it never resends a request by itself: the error
// says whether the request may have reached the upstream, and the caller of the
// package decides whether to retry.
//
// Data that an upstream sends unasked is not taken for the response to a later
// request if it has arrived before the upstream could have that request: an idle
// connection with such data is closed, and an exchange fails on it. Data that
// crosses the request on the way cannot be told from the response here; the caller of
// the package has to check on a reused connection whose response it is.
package http1
