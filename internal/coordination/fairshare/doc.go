// Package fairshare divides the capacity of a service between the classes of its
// requests, across all gateways.
//
// A class is a client account and a priority. Each gateway counts what its classes use
// and want, exchanges these counts with its peers, and computes from the sum which
// classes use more than their share while the service lacks room. It assigns no targets
// to the requests of such a class beyond its part of the share; they wait in the queue,
// so that freed capacity goes to the classes below their share, at whichever gateway
// these wait.
//
// The load that this addresses: many gateways, each of which receives a few requests a
// second and therefore rarely queues those of two accounts, and one account that sends
// more than the service can take at some or all of them.
//
// A gateway uses the package only if its settings ask for shares across gateways.
//
// The package does no I/O. Times are durations since boot.
package fairshare
