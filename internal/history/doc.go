// Package history reconstructs from logs what happened to requests.
//
// The lines about a request usually come from one process, but their explanation is
// often in the logs of others, such as the gateway that sent orders to an engine or
// the one that saw an upstream disappear. A [RequestLog] therefore reads the logs of
// any number of processes. [RequestLog.Timeline] orders the lines about the request
// and the lines on changes in the state of its upstreams and of the process that
// served it.
//
// Lines are ordered by their timestamps. Clocks of VMs may differ, so the order of
// lines from different processes is only as accurate as these clocks. Lines of one
// process with equal timestamps keep their order in the log.
package history
