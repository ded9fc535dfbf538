package network

import "time"

// closedDeadline makes all calls of a connection return at once.
var closedDeadline = time.Unix(1, 0)
