package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newTable(t *testing.T, version int64) *Table {
	table := &Table{
		Version: version,
		Routes: []*Route{
			{Name: "all", Host: "H.example", Prefix: "/", Backends: []Backend{{Service: "s", Weight: 1}}},
			{Name: "deep", Host: "h.example", Prefix: "/a/b/", Backends: []Backend{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
			{Name: "short", Host: "h.example", Prefix: "/a/", Public: true, Backends: []Backend{{Service: "s", Weight: 1}}},
		},
		Accounts: []*Account{{Name: "shop", Keys: []string{"k1", "k2"}}},
	}
	qt.Assert(t, table.Prepare(), qt.IsNil)
	return table
}

func TestMatchChoosesLongestPrefix(t *testing.T) {
	table := newTable(t, 1)
	for _, test := range []struct{ host, path, want string }{
		{"h.example", "/a/b/c", "deep"},
		{"h.example", "/a/b", "short"},
		{"h.example:8080", "/a/x", "short"},
		{"H.EXAMPLE", "/z", "all"},
		{"other.example", "/a/", ""},
	} {
		route, ok := table.Match(test.host, test.path)
		qt.Check(t, ok, qt.Equals, test.want != "")
		if ok {
			qt.Check(t, route.Name, qt.Equals, test.want)
		}
	}
}

func TestBackendFollowsWeights(t *testing.T) {
	c := qt.New(t)
	route, _ := newTable(t, 1).Match("h.example", "/a/b/")
	counts := make(map[string]int)
	for i := range 10000 {
		counts[route.Backend(string(rune(i)))]++
	}
	c.Assert(counts["t"] > 800 && counts["t"] < 1200, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(route.Backend("x"), qt.Equals, route.Backend("x"))
}

func TestAccountKeys(t *testing.T) {
	c := qt.New(t)
	table := newTable(t, 1)
	account, ok := table.Account("k2")
	c.Assert(ok, qt.IsTrue)
	c.Assert(account.Name, qt.Equals, "shop")
	_, ok = table.Account("")
	c.Assert(ok, qt.IsFalse)
	deep, _ := table.Match("h.example", "/a/b/")
	short, _ := table.Match("h.example", "/a/")
	c.Assert(table.NeedsKey(deep), qt.IsTrue)
	c.Assert(table.NeedsKey(short), qt.IsFalse)
}

func TestStoreRefusesOlderVersion(t *testing.T) {
	c := qt.New(t)
	var s Store
	_, known := s.Age(time.Minute)
	c.Assert(known, qt.IsFalse)
	c.Assert(s.Adopt(newTable(t, 7)), qt.IsTrue)
	c.Assert(s.Adopt(newTable(t, 5)), qt.IsFalse)
	c.Assert(s.Table().Version, qt.Equals, int64(7))

	s.Confirm(7, 10*time.Second)
	age, _ := s.Age(12 * time.Second)
	c.Assert(age, qt.Equals, 2*time.Second)
	// Neither an older confirmation nor one of another version lowers the age.
	s.Confirm(7, 9*time.Second)
	s.Confirm(5, 12*time.Second)
	age, _ = s.Age(12 * time.Second)
	c.Assert(age, qt.Equals, 2*time.Second)
	// The new table is at least as new as the old one was when it was
	// confirmed, so its age is the same.
	c.Assert(s.Adopt(newTable(t, 9)), qt.IsTrue)
	age, _ = s.Age(12 * time.Second)
	c.Assert(age, qt.Equals, 2*time.Second)
}

func TestPrepareRefusesInvalidTables(t *testing.T) {
	qt.Check(t, (&Table{}).Prepare(), qt.ErrorMatches, ".*version must be positive")
	qt.Check(t, (&Table{Version: 1, Routes: []*Route{{Name: "r"}}}).Prepare(), qt.ErrorMatches, `.*"r" has no backends`)
}
