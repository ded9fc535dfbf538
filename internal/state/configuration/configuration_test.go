package configuration

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageport.example/pkg/declaration"
)

func setOf(accounts int) declaration.Set {
	set := declaration.Set{Models: []declaration.Model{{Name: "m", Layers: 4, MaxOutputTokens: 8}}}
	for i := range accounts {
		set.Accounts = append(set.Accounts, declaration.Account{Name: fmt.Sprintf("account-%05d", i), Priority: i % 10})
	}
	return set
}

func TestJoinRestoresSplitSet(t *testing.T) {
	for _, accounts := range []int{0, 1, maxMeanShardObjects, maxMeanShardObjects + 1, 5000} {
		set := setOf(accounts)
		shards, err := Split(set)
		qt.Assert(t, err, qt.IsNil)
		joined, err := Join(shards)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, Diff(set, joined), qt.HasLen, 0)
		qt.Check(t, joined.Accounts, qt.HasLen, accounts)
	}
}

// TestOneChangeChangesOneShard guards against a change of one object rewriting
// many shards. With 27,000 client accounts, changing one must change one shard,
// and each shard must stay below 128 KiB, far below the object API's limit.
func TestOneChangeChangesOneShard(t *testing.T) {
	const accounts = 27000
	before, err := Split(setOf(accounts))
	qt.Assert(t, err, qt.IsNil)
	changed := setOf(accounts)
	changed.Accounts[13000].Priority = 0
	changed.Accounts[13000].MaxInFlight = 7
	after, err := Split(changed)
	qt.Assert(t, err, qt.IsNil)
	existing := make(map[string]bool)
	for _, s := range before {
		existing[s.Name] = true
	}
	changedShards := 0
	for _, s := range after {
		qt.Check(t, len(s.Text) < 128<<10, qt.IsTrue)
		if !existing[s.Name] {
			changedShards++
		}
	}
	qt.Check(t, changedShards, qt.Equals, 1)
}

func TestJoinRefusesShardWithOtherContent(t *testing.T) {
	shards, err := Split(setOf(3))
	qt.Assert(t, err, qt.IsNil)
	shards[0].Text = append(shards[0].Text, ' ')
	_, err = Join(shards)
	qt.Check(t, err, qt.IsNotNil)
}

// TestAdopterNeverReverts guards against heads and shards that arrive out of
// order or repeatedly making an entry return to an older generation or adopt an
// incomplete one.
func TestAdopterNeverReverts(t *testing.T) {
	heads := make([]Head, 6)
	byName := make(map[string]Shard)
	for i := range heads {
		shards, err := Split(setOf(i))
		qt.Assert(t, err, qt.IsNil)
		heads[i].Generation = int64(i + 1)
		for _, s := range shards {
			heads[i].Shards = append(heads[i].Shards, s.Name)
			byName[s.Name] = s
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		var a Adopter
		var last int64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				a.Offer(rapid.SampledFrom(heads).Draw(t, "head"))
			case 1:
				for _, name := range a.Missing() {
					if rapid.Bool().Draw(t, "fetched") {
						if err := a.AddShard(byName[name]); err != nil {
							t.Fatal(err)
						}
					}
				}
			case 2:
				if _, err := a.Adopt(); err != nil {
					t.Fatal(err)
				}
			case 3:
				a.ObserveGeneration(int64(rapid.IntRange(0, 7).Draw(t, "seen")))
			}
			if a.Generation() < last {
				t.Fatalf("generation fell from %d to %d", last, a.Generation())
			}
			last = a.Generation()
			if last > 0 && len(a.Current().Set.Accounts) != int(last)-1 {
				t.Fatalf("generation %d is incomplete", last)
			}
			if a.Ready() && a.HighestObserved() > last {
				t.Fatal("ready although a newer generation was observed")
			}
		}
	})
}

func TestDiffListsAddedChangedAndRemovedObjects(t *testing.T) {
	from, to := setOf(3), setOf(4)
	to.Accounts = to.Accounts[1:]
	to.Accounts[0].Priority = 9
	to.Links = []declaration.Link{{From: "a", To: "b"}}
	qt.Check(t, Diff(from, to), qt.DeepEquals, []Difference{
		{"Links", "a b", "add"},
		{"Accounts", "account-00000", "remove"},
		{"Accounts", "account-00001", "change"},
		{"Accounts", "account-00003", "add"},
	})
}

func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"Generation":1,"Shards":["a"],"Changes":[{"ID":"x","Generation":1}]}`))
	f.Add([]byte(`{"Generation":-1}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		head, err := DecodeHead(value)
		if err != nil {
			return
		}
		var a Adopter
		a.Offer(head)
		if _, err := a.Adopt(); err == nil && a.Generation() < 0 {
			t.Fatal("negative generation adopted")
		}
	})
}

func FuzzJoin(f *testing.F) {
	shards, err := Split(setOf(2))
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range shards {
		f.Add(s.Text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := Join([]Shard{newShard(text)})
		if err != nil {
			return
		}
		if _, err := json.Marshal(set); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkSplit(b *testing.B) {
	for _, accounts := range []int{1000, 3000, 9000, 27000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			set := setOf(accounts)
			for b.Loop() {
				if _, err := Split(set); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkAdopt measures what adopting a generation costs an entry. The cost is
// the same for a generation that changes a single account.
func BenchmarkAdopt(b *testing.B) {
	for _, accounts := range []int{1000, 3000, 9000, 27000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			var a Adopter
			shards, err := Split(setOf(accounts))
			if err != nil {
				b.Fatal(err)
			}
			var names []string
			for _, s := range shards {
				names = append(names, s.Name)
				if err := a.AddShard(s); err != nil {
					b.Fatal(err)
				}
			}
			var generation int64
			for b.Loop() {
				generation++
				a.Offer(Head{Generation: generation, Shards: names})
				if _, err := a.Adopt(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
