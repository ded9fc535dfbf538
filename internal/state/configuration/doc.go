// Package configuration keeps the accepted configuration.
//
// A declared set is split into shards, each stored once under the hash of its
// content. A head object names the shards of a generation; the conditional
// update of the head is the moment at which a change is accepted, see
// [Stored.Apply]. Each entry runs an [Adopter], which learns of heads from the
// platform and from peers and only ever moves to a higher generation.
package configuration
