package soak

import (
	"fmt"
	"time"

	"lovageport.example/platform/platformtest"
)

// stableKey is an API key that is valid in all configurations.
const stableKey = "stable"

// configurationVersion is a configuration that the store has acknowledged.
type configurationVersion struct {
	number int
	// key is valid in this configuration and the next ones as keptVersions says.
	// stableKey is valid beside it.
	key string
	// sent is when the configuration was sent to the store, at when the store
	// acknowledged it.
	sent, at time.Time
	// unusedRoutes is the number of routes that make the configuration larger.
	unusedRoutes int
}

// configure stores the next configuration. Its new key replaces the oldest one, and
// its size is that of the previous configuration.
func (s *system) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	unusedRoutes := 0
	if n := len(s.versions); n > 0 {
		unusedRoutes = s.versions[n-1].unusedRoutes
	}
	s.configureLocked(unusedRoutes)
}

// configureSize is like configure with a number of unused routes.
func (s *system) configureSize(unusedRoutes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configureLocked(unusedRoutes)
}

// configureLocked stores the next configuration. The caller holds mu.
func (s *system) configureLocked(unusedRoutes int) {
	number := 3*len(s.versions) + 1
	v := configurationVersion{number: number, key: fmt.Sprint("key", number), unusedRoutes: unusedRoutes, sent: time.Now()}
	s.versions = append(s.versions, v)
	s.putLatest()
	s.versions[len(s.versions)-1].at = time.Now()
}

// putLatest writes the latest configuration. The caller holds mu.
func (s *system) putLatest() {
	kept := s.keptLocked()
	latest := kept[len(kept)-1]
	c := platformtest.Configuration{Version: latest.number, Keys: []string{stableKey}, StreamAttempts: 2, UnusedRoutes: latest.unusedRoutes}
	for _, v := range kept {
		c.Keys = append(c.Keys, v.key)
		if s.storms {
			c.Variants = append(c.Variants, v.key)
		}
	}
	if s.releases {
		for i := range releaseKeys {
			c.Keys = append(c.Keys, fmt.Sprint("unused", i))
		}
	}
	s.store.Configure(c)
}

// keptLocked returns the configurations whose keys are valid. The caller holds mu.
func (s *system) keptLocked() []configurationVersion {
	return s.versions[max(0, len(s.versions)-s.keptVersions):]
}

// keptKey returns the key of one of the configurations whose keys are valid, given
// by a number between 0 and 1.
func (s *system) keptKey(which float64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.keptLocked()
	return kept[int(which*float64(len(kept)))].key
}

// recentKeys returns the key of the newest configuration and that of the one
// before it, which is empty if there is none.
func (s *system) recentKeys() (newest, before string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.versions)
	if n > 1 {
		before = s.versions[n-2].key
	}
	return s.versions[n-1].key, before
}
