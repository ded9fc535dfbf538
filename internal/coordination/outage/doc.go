// Package outage dates the outages of a store that several gateways follow: when
// entries may have lapsed there because their owners could not renew them.
//
// That a call failed does not show an outage that lasts, and an own call may succeed
// only long after the store is back. An outage begins with the first failed call, and
// ends with the first answer of the store to any call, of this gateway or of a peer.
//
// Times are durations since boot.
package outage
