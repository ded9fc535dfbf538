//go:build race

package entry_test

// raceEnabled reports whether the race detector is enabled.
const raceEnabled = true
