//go:build race

package entry_test

// raceEnabled says that the race detector is on.
const raceEnabled = true
