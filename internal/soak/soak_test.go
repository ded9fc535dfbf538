package soak

import (
	"errors"
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
	restorations  = flag.Bool("soak.restore", false, "restore the store from copies in runs with odd seeds")
	earlier       = flag.String("soak.earlier", "", "commit of the build that runs beside the present one")
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
			p := Config{Seed: seed, MaintenanceOnly: seed%2 == 0, Gateways: *gateways, Callers: *callers, Duration: *faultDuration}
			p.Restorations = *restorations && !p.MaintenanceOnly
			if *earlier != "" {
				p.EarlierBinDir = buildCommit(t, *earlier)
			}
			runAndCheck(t, p)
		})
	}
}

// TestRestorations performs a run in which the store is restored from copies.
func TestRestorations(t *testing.T) {
	t.Parallel()
	runAndCheck(t, Config{Seed: 3, Restorations: true, Gateways: 4, Callers: 4, Duration: 8 * time.Second})
}

// earlierBuilds are commits whose builds must work side by side with the present
// one.
var earlierBuilds = []string{
	// Exchanges News without what Update adds.
	"98b08ff",
	// Exchanges News of other fields, so that neither hears the other.
	"436f3b6",
}

// TestEarlierBuilds replaces processes of an earlier build by ones of the present
// build and the other way round, in runs of planned maintenance alone and of faults.
func TestEarlierBuilds(t *testing.T) {
	for _, commit := range earlierBuilds {
		dir := buildCommit(t, commit)
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(commit, " ", seed), func(t *testing.T) {
				t.Parallel()
				runAndCheck(t, Config{Seed: seed, MaintenanceOnly: seed == 0, EarlierBinDir: dir, Gateways: 4, Callers: 4, Duration: 8 * time.Second})
			})
		}
	}
}

// buildCommit returns a directory with the binaries of a commit. It skips the test
// if the history of the repository does not reach that far.
func buildCommit(t *testing.T, commit string) string {
	dir, err := program.BuildCommit(t.TempDir(), commit)
	if errors.Is(err, program.ErrNoCommit) {
		fmt.Printf("%s skipped: %v\n", t.Name(), err)
		t.SkipNow()
	}
	qt.Assert(t, err, qt.IsNil)
	return dir
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
