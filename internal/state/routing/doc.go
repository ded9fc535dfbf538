// Package routing holds the routing table of the gateway: the routes, services,
// client accounts and limits of one version of the configuration.
//
// A [Table] is immutable after [Table.Prepare]. [Store] holds the newest one and
// never replaces it by an older version.
package routing
