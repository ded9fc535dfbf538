package soak

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/standin/program"
)

// Flags of a run by hand.
var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed of the drawn runs")
	seedCount = flag.Int("soak.seeds", 2, "number of drawn runs, every other one of planned work only")
	length    = flag.Duration("soak.length", 8*time.Second, "time in which faults are injected")
	gateways  = flag.Int("soak.gateways", 4, "number of gateway processes")
	callers   = flag.Int("soak.callers", 4, "number of callers of each gateway")
)

// programs holds the built binaries.
var programs string

func TestMain(m *testing.M) {
	os.Exit(program.WithBinaries(func(dir string) int {
		programs = dir
		return m.Run()
	}))
}

// TestSoak plays drawn runs.
func TestSoak(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, Config{Seed: seed, MaintenanceOnly: seed%2 == 0, Gateways: *gateways, Callers: *callers, Duration: *length})
		})
	}
}

// regressions are runs that once broke a promise, each with its cause.
var regressions = []struct {
	cause string
	plan  Config
}{
	{"a second SIGTERM cut what was in flight", Config{Seed: 2, MaintenanceOnly: true, Gateways: 4, Callers: 4, Duration: 8 * time.Second}},
	{"SIGHUP came before the process caught it", Config{Seed: 4, MaintenanceOnly: true, Gateways: 4, Callers: 4, Duration: 12 * time.Second}},
}

func TestRegressions(t *testing.T) {
	for _, x := range regressions {
		t.Run(x.cause, func(t *testing.T) {
			t.Parallel()
			play(t, x.plan)
		})
	}
}

// play plays a plan and fails for each promise that did not hold.
func play(t *testing.T, p Config) {
	p.Dir, p.BinDir = t.TempDir(), programs
	r, err := Run(p)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("%d calls, %d served, %d faults", r.Calls, r.Succeeded, len(r.Actions))
	qt.Check(t, r.Succeeded > r.Calls/4, qt.IsTrue, qt.Commentf("%d of %d calls served", r.Succeeded, r.Calls))
	for _, v := range r.Violations {
		t.Errorf("not so: %s: %s", v.Guarantee, v.Detail)
	}
	if !t.Failed() {
		return
	}
	t.Logf("faults:\n%s", strings.Join(r.Actions, "\n"))
	keepLogs(t, r)
}

// keepLogs writes the logs of a failed run where the variable LOVAGEPORT_SOAK
// says.
func keepLogs(t *testing.T, r *Report) {
	dir := os.Getenv("LOVAGEPORT_SOAK")
	if dir == "" {
		return
	}
	for name, text := range r.Logs {
		path := fmt.Sprintf("%s/%s-%s.log", dir, strings.ReplaceAll(t.Name(), "/", "-"), name)
		qt.Check(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	}
}
