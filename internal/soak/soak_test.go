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

// Flags for longer runs by hand.
var (
	firstSeed     = flag.Uint64("soak.first", 1, "seed of the first run")
	seedCount     = flag.Int("soak.seeds", 2, "number of runs; those with even seeds have planned maintenance only")
	faultDuration = flag.Duration("soak.length", 8*time.Second, "time within which maintenance and faults start")
	gateways      = flag.Int("soak.gateways", 4, "number of gateway processes")
	callers       = flag.Int("soak.callers", 4, "number of callers of each gateway")
)

// binDir is the directory of the built binaries.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(program.WithBinaries(func(dir string) int {
		binDir = dir
		return m.Run()
	}))
}

// TestSoak performs runs with consecutive seeds. Those with even seeds have
// planned maintenance only.
func TestSoak(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runAndCheck(t, Config{Seed: seed, MaintenanceOnly: seed%2 == 0, Gateways: *gateways, Callers: *callers, Duration: *faultDuration})
		})
	}
}

// regressions are runs that once violated a guarantee, each with the cause.
var regressions = []struct {
	cause  string
	config Config
}{
	{"a second SIGTERM cut what was in flight", Config{Seed: 2, MaintenanceOnly: true, Gateways: 4, Callers: 4, Duration: 8 * time.Second}},
	{"SIGHUP came before the process caught it", Config{Seed: 4, MaintenanceOnly: true, Gateways: 4, Callers: 4, Duration: 12 * time.Second}},
}

func TestRegressions(t *testing.T) {
	for _, x := range regressions {
		t.Run(x.cause, func(t *testing.T) {
			t.Parallel()
			runAndCheck(t, x.config)
		})
	}
}

// runAndCheck performs a run and fails the test for each violated guarantee.
func runAndCheck(t *testing.T, p Config) {
	p.Dir, p.BinDir = t.TempDir(), binDir
	r, err := Run(p)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("%d calls, %d succeeded, %d maintenance actions and faults", r.Calls, r.Succeeded, len(r.Actions))
	qt.Check(t, r.Succeeded > r.Calls/4, qt.IsTrue, qt.Commentf("%d of %d calls succeeded", r.Succeeded, r.Calls))
	for _, v := range r.Violations {
		t.Errorf("guarantee violated: %s: %s", v.Guarantee, v.Detail)
	}
	if !t.Failed() {
		return
	}
	t.Logf("faults:\n%s", strings.Join(r.Actions, "\n"))
	keepLogs(t, r)
}

// keepLogs writes the logs of a failed run to the directory that the
// environment variable LOVAGEPORT_SOAK names, if it is set.
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
