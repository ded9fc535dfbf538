// Package prefixcache estimates which engines still cache the beginning of a
// prompt.
//
// Load pattern: many prompts of an account begin with the same parts. An engine
// that still caches them reads only what follows, but it keeps them only while
// it has memory and nobody reports what it has evicted.
//
// A [Cache] records the prefixes of the prompts that engines have read. The
// probability that one is still cached follows from its age, from how much the
// engine has read since compared to its free memory, and from feedback: a first
// event that comes as late as without the cache lowers it, one that comes sooner
// raises it.
package prefixcache
