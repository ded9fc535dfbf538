// Package configuration stores and distributes the accepted configuration.
//
// A declared set is split into shards, each stored once under the hash of its
// content. A head object lists the shards of a generation; a change is accepted
// by the conditional write of the head, see [Repository.Apply]. Each entry,
// the process on an entry VM, runs an [Adopter], which receives heads from the
// platform and from peers and only ever moves to a higher generation.
package configuration
