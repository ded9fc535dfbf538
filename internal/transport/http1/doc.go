// Package http1 is a pooling HTTP/1.1 client that sends each request at most
// once.
//
// Unlike net/http's Transport it never resends a request by itself: the error
// says whether the request may have reached the upstream, and the caller of the
// package decides whether to retry. It closes an idle connection on which
// unsolicited data has arrived, so that the data is never taken for the
// response to a later request.
package http1
