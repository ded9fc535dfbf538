// Package socket tells whether the data of a TCP connection has ended or was cut off.
//
// The kernel reports the error of a socket to one call only, whichever comes first: a
// read, a write, or a receive that peeks. The read after that call finds the end of the
// data. A connection that is read and written at once therefore looks closed to its
// reader if it was reset and its writer has got the error. A [Conn] has its reads return
// that error, and the functions of this package ask for the state of a connection without
// taking it.
package socket
