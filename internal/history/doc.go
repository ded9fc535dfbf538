// Package history tells from logs what happened to a request.
//
// The lines about the request come from one process as a rule. What explains
// them often stands in the logs of others: the gateway that gave an engine its
// orders, or the one that saw an upstream go. A [RequestLog] therefore reads the logs
// of any number of processes, and [RequestLog.Timeline] puts the lines about a request in
// order among those that changed what was believed of the upstreams it met and
// of the process that served it.
//
// Lines are ordered by the time of day that they carry. Clocks of VMs may
// differ, so that the order between processes is as good as their clocks; the
// order within a process is that of its lines.
package history
