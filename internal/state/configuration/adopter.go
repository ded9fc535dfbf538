package configuration

import (
	"fmt"

	"lovageport.example/pkg/declaration"
)

// Snapshot is the configuration of one generation: its head and the set that
// the head's shards hold.
type Snapshot struct {
	Head Head
	Set  declaration.Set
}

// Adopter decides which configuration an entry has in force. It collects the
// shards of the newest head that it has been offered and adopts a generation
// only as a whole and only if it is higher than the one in force. The zero value
// has no configuration in force. An Adopter must not be used by several
// goroutines at once.
type Adopter struct {
	current Snapshot
	// shards holds the shards of the head in force, and those of the offered
	// head that have been added, by name.
	shards  map[string]Shard
	offered Head
	// highest is the highest generation that was observed.
	highest int64
}

// Current returns the configuration in force.
func (a *Adopter) Current() Snapshot { return a.current }

// Generation returns the generation in force, or 0 if there is none.
func (a *Adopter) Generation() int64 { return a.current.Head.Generation }

// ObserveGeneration records that a generation is known to a peer or to the
// platform.
func (a *Adopter) ObserveGeneration(generation int64) { a.highest = max(a.highest, generation) }

// HighestObserved returns the highest generation that was observed.
func (a *Adopter) HighestObserved() int64 { return a.highest }

// NeedsHead reports whether the head of the highest observed generation has not
// been offered yet.
func (a *Adopter) NeedsHead() bool {
	return a.highest > max(a.Generation(), a.offered.Generation)
}

// Behind reports whether a generation higher than the one in force was observed.
func (a *Adopter) Behind() bool { return a.highest > a.Generation() }

// Ready reports whether a configuration is in force and none is known to be
// newer.
func (a *Adopter) Ready() bool { return a.Generation() > 0 && !a.Behind() }

// Offer makes head the next one to adopt. It reports whether it did: a head is
// ignored if the generation in force is as high, or the one offered before is
// higher.
func (a *Adopter) Offer(head Head) bool {
	a.ObserveGeneration(head.Generation)
	if head.Generation <= a.Generation() || head.Generation < a.offered.Generation {
		return false
	}
	a.offered = head
	return true
}

// Missing returns the names of the offered head's shards that have not been
// added yet.
func (a *Adopter) Missing() []string {
	var missing []string
	for _, name := range a.offered.Shards {
		if _, ok := a.shards[name]; !ok {
			missing = append(missing, name)
		}
	}
	return missing
}

// AddShard adds a shard. It returns an error if the shard's name is not the hash
// of its text.
func (a *Adopter) AddShard(s Shard) error {
	if err := s.Check(); err != nil {
		return err
	}
	if a.shards == nil {
		a.shards = make(map[string]Shard)
	}
	a.shards[s.Name] = s
	return nil
}

// Shards returns the shards with the given names; names that are not held are
// skipped.
func (a *Adopter) Shards(names []string) []Shard {
	var found []Shard
	for _, name := range names {
		if s, ok := a.shards[name]; ok {
			found = append(found, s)
		}
	}
	return found
}

// Adopt puts the offered head in force if it is newer and no shard of it is
// missing. It reports whether the configuration in force changed. It returns an
// error if the shards do not form a valid set.
func (a *Adopter) Adopt() (bool, error) {
	if a.offered.Generation <= a.Generation() || len(a.Missing()) > 0 {
		return false, nil
	}
	set, err := Join(a.Shards(a.offered.Shards))
	if err != nil {
		return false, fmt.Errorf("configuration: generation %d not adopted: %w", a.offered.Generation, err)
	}
	a.current = Snapshot{Head: a.offered, Set: set}
	a.dropUnusedShards()
	return true, nil
}

// dropUnusedShards drops the shards that the head in force does not list.
func (a *Adopter) dropUnusedShards() {
	kept := make(map[string]Shard, len(a.current.Head.Shards))
	for _, name := range a.current.Head.Shards {
		kept[name] = a.shards[name]
	}
	a.shards = kept
}
