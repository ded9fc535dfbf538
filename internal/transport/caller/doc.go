// Package caller serves API clients ("callers") over HTTP: the completion and
// model endpoints of the OpenAI API, and a route for each plain service.
//
// Every response names its request in the header Lovageport-Request; every
// refusal and error carries its verdict in the header Lovageport-Verdict and in
// its body. A streamed response ends with its terminal event, or with an error
// event and an aborted connection, so that a truncated stream never looks
// complete.
package caller
