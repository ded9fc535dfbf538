// Package caller serves callers over HTTP: the text calls of the OpenAI API,
// and a route for each plain service.
//
// Every answer names its request in the header Lovageport-Request; every
// refusal and error carries its verdict in Lovageport-Verdict and in its body.
// A streamed answer ends with its terminal event, or with an error event and a
// broken connection, and never with a clean end after a part.
package caller
