// Package routing holds the table by which requests are routed: routes,
// services, client accounts and limits of one version of the configuration.
//
// A [Table] is immutable once made. [Store] keeps the newest one and never
// goes back to an older version.
package routing
