// Package fleet holds what is known of the upstreams: which there are, what
// state they are in, and which layers the engines among them hold.
package fleet
