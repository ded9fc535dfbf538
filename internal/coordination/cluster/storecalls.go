package cluster

import "time"

// IsZoneReader reports whether this gateway reads the store on behalf of its
// zone: it is the first by address of the live gateways in the zone that follow
// the store, or of all if none does. follows tells whether this gateway follows
// the store.
func (ms *Members) IsZoneReader(now time.Duration, follows bool) bool {
	for _, m := range ms.Alive(now) {
		if m.Zone != ms.Self.Zone {
			continue
		}
		before := m.Address.Address < ms.Self.Address
		if m.News.Follows && !follows || m.News.Follows == follows && before {
			return false
		}
	}
	return true
}

// Pauses between two watches of the store. They let changes made in quick
// succession arrive in one answer.
const (
	// readerWatchPause is the pause of the zone reader.
	readerWatchPause = 150 * time.Millisecond
	// maxWatchPause bounds the pause of the other gateways. It keeps their list
	// of upstreams younger than MaxListAge and puts configurations in force well
	// within the 2 to 3 s that users allow.
	maxWatchPause = 1500 * time.Millisecond
	// confirmedWatchPause is by how much the other gateways pause longer while peers
	// confirm what they know, if there are at least manyGateways others. Changes then
	// come from peers too, within about half a second, so that a watch mostly returns
	// what is known.
	confirmedWatchPause = 6500 * time.Millisecond
)

// Maximum durations of a watch of the store.
const (
	// readerWatchWait is the duration for the zone reader. Each answer, even an
	// empty one, confirms the known state as of the time the watch was sent.
	readerWatchWait = 800 * time.Millisecond
	// largeReaderWatchWait is the duration for the zone reader if there are at
	// least manyGateways others: a confirmation then takes longer to reach all.
	largeReaderWatchWait = 400 * time.Millisecond
	// otherWatchWait is the duration for the other gateways, to which the zone
	// reader confirms the state.
	otherWatchWait = 8 * time.Second
	// manyGateways is the number of other gateways from which on
	// largeReaderWatchWait and confirmedWatchPause apply and reports are relayed.
	manyGateways = 4 * fullRatePeers
)

// WatchWait returns how long a watch of the store may wait for changes. follows
// tells whether this gateway follows the store.
func (ms *Members) WatchWait(now time.Duration, follows bool) time.Duration {
	switch {
	case !ms.IsZoneReader(now, follows):
		return otherWatchWait
	case len(ms.ordered) >= manyGateways:
		return largeReaderWatchWait
	}
	return readerWatchWait
}

// WatchPause returns the pause between two watches of the same state. For
// gateways that aren't zone readers the pause grows with the number of gateways,
// so that the store calls caused by a change do not. follows tells whether this
// gateway follows the store.
func (ms *Members) WatchPause(now time.Duration, follows bool) time.Duration {
	if ms.IsZoneReader(now, follows) {
		return readerWatchPause
	}
	pause := readerWatchPause * time.Duration(max(1, len(ms.ordered)/fullRatePeers))
	return min(pause, maxWatchPause)
}

// ConfirmedWatchPause returns by how much the pause between two watches is longer than
// WatchPause while peers, or an own read, confirm what this gateway knows.
func (ms *Members) ConfirmedWatchPause(now time.Duration, follows bool) time.Duration {
	if len(ms.ordered) < manyGateways || ms.IsZoneReader(now, follows) {
		return 0
	}
	return confirmedWatchPause
}

// Pauses after failed calls to the store.
const (
	// minRetryPause and maxRetryPause bound the pause of the zone reader.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = time.Second
	// maxOtherRetryPause bounds the pause of the other gateways, which get the
	// state of the store from the zone reader. Until they have reached the store
	// themselves they treat missing entries as lapsed. That must end well before
	// users consider the store stable again, 3 to 5 s after its return.
	maxOtherRetryPause = 2500 * time.Millisecond
)

// RetryPause returns the pause after the given number of consecutive failed calls
// to the store. It doubles with each failure, up to a bound. For gateways that
// aren't zone readers the bound grows with the number of gateways, so that the
// load on a store that is down does not. follows tells whether this gateway
// follows the store.
func (ms *Members) RetryPause(failures int, now time.Duration, follows bool) time.Duration {
	longest := maxRetryPause
	if !ms.IsZoneReader(now, follows) {
		longest = min(maxRetryPause*time.Duration(max(1, len(ms.ordered)/fullRatePeers)), maxOtherRetryPause)
	}
	pause := minRetryPause
	for ; failures > 1 && pause < longest; failures-- {
		pause *= 2
	}
	return min(pause, longest)
}
