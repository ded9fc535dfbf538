// Package buffer reads messages whole, and bounds the memory that those of a process
// take together: limits of single messages do not, since many may arrive at once.
package buffer
