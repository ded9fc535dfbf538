// Package throttle keeps the calls that all gateways make to an upstream within the rate
// that the upstream states in its answers.
//
// There is no coordinator. Each gateway computes its own part of the rate from the gateways
// that it hears and from the use of the upstream that they report, and spends it from a
// token bucket. The parts add up to the rate while all gateways hear each other, and to
// little more while what they know differs. Of an upstream that takes fewer requests a
// second than there are gateways only some hold a part, chosen by rendezvous hashing.
//
// Times are durations since boot.
package throttle
