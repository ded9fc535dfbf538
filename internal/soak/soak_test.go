package soak

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"regexp"
	"slices"
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
	build         = flag.String("soak.build", "", "commit of the gateways; empty for the present one")
	storms        = flag.Bool("soak.storms", false, "store configurations in series")
	limits        = flag.Bool("soak.limits", false, "let upstreams state limits, which runs with even seeds check")
	lapses        = flag.Bool("soak.lapses", false, "let entries lapse in outages of the store in runs with odd seeds")
	standstills   = flag.Bool("soak.standstills", false, "have processes stand still for a short time; the only fault in runs with even seeds")
	releases      = flag.Bool("soak.releases", false, "release engines beside configurations and signals, with bodies in chunks and a small retry allowance")
	maxProcs      = flag.Int("soak.maxprocs", 0, "number of processors that a gateway uses at a time; 0 for no limit")
	busy          = flag.Int("soak.busy", 0, "number of processes that use processors beside the runs")
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
	for range *busy {
		startBusyProcess(t)
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := Config{Seed: seed, MaintenanceOnly: seed%2 == 0, Gateways: *gateways, Callers: *callers, Duration: *faultDuration}
			p.Restorations, p.Lapses = *restorations && !p.MaintenanceOnly, *lapses && !p.MaintenanceOnly
			p.Storms, p.Standstills, p.Limits, p.MaxProcs, p.Releases = *storms, *standstills, *limits, *maxProcs, *releases
			if *build != "" {
				p.BinDir, p.EarlierSettings = buildCommit(t, *build), true
			}
			if *earlier != "" {
				p.EarlierBinDir = buildCommit(t, *earlier)
			}
			runAndCheck(t, p)
		})
	}
}

// startBusyProcess starts a process that uses one processor until the test ends.
func startBusyProcess(t *testing.T) {
	c := exec.Command("sh", "-c", "while :; do :; done")
	qt.Assert(t, c.Start(), qt.IsNil)
	t.Cleanup(func() {
		qt.Check(t, c.Process.Kill(), qt.IsNil)
		// It ends with the error that it was killed.
		_ = c.Wait()
	})
}

// TestStorms performs runs with configurations in series: one of planned maintenance
// alone, one with standstills as the only faults, one with all faults, and one of planned
// releases of engines beside maintenance.
func TestStorms(t *testing.T) {
	for _, x := range []struct {
		name   string
		config Config
	}{
		{"maintenance", Config{Seed: 1, MaintenanceOnly: true, MaxProcs: 1}},
		{"standstills", Config{Seed: 2, MaintenanceOnly: true, MaxProcs: 1, Standstills: true}},
		{"faults", Config{Seed: 3, Standstills: true}},
		{"releases", Config{Seed: 4, MaintenanceOnly: true, MaxProcs: 1, Releases: true}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			x.config.Storms, x.config.Gateways, x.config.Callers, x.config.Duration = true, 4, 4, 8*time.Second
			runAndCheck(t, x.config)
		})
	}
}

// TestRestorations performs a run in which the store is restored from copies.
func TestRestorations(t *testing.T) {
	t.Parallel()
	runAndCheck(t, Config{Seed: 3, Restorations: true, Gateways: 4, Callers: 4, Duration: 8 * time.Second})
}

// TestLapses performs a run in which entries of upstreams lapse in outages of the store.
func TestLapses(t *testing.T) {
	t.Parallel()
	runAndCheck(t, Config{Seed: 7, Lapses: true, Gateways: 4, Callers: 4, Duration: 8 * time.Second})
}

// TestLimits performs runs in which upstreams state limits.
func TestLimits(t *testing.T) {
	for _, x := range []struct {
		name        string
		maintenance bool
	}{{"maintenance", true}, {"faults", false}} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			runAndCheck(t, Config{Seed: 5, Limits: true, MaintenanceOnly: x.maintenance, Gateways: 4, Callers: 8, Duration: 8 * time.Second})
		})
	}
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
	p.Dir = t.TempDir()
	if p.BinDir == "" {
		p.BinDir = binDir
	}
	r, err := Run(p)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("%d calls, %d succeeded, %d maintenance actions and faults", r.Calls, r.Succeeded, len(r.Actions))
	t.Logf("%d calls to upstreams with limits", r.LimitedCalls)
	t.Logf("%d configurations; streams cut beside one: %d in %v, at other times: %d in %v", r.Versions,
		r.Beside.Cut, r.Beside.Time.Round(time.Millisecond), r.Outside.Cut, r.Outside.Time.Round(time.Millisecond))
	for _, x := range r.CutStreams {
		t.Logf("cut: %s", x)
	}
	qt.Check(t, r.Succeeded > r.Calls/4, qt.IsTrue, qt.Commentf("%d of %d calls succeeded", r.Succeeded, r.Calls))
	for _, v := range r.Violations {
		t.Errorf("guarantee violated: %s: %s", v.Guarantee, v.Detail)
	}
	t.Logf("faults:\n%s", strings.Join(r.Actions, "\n"))
	logEvents(t, r)
	if t.Failed() {
		keepLogs(t, r)
	}
}

// eventPattern matches the event of a line of a gateway's log. reasonPattern matches the
// reason in it.
var (
	eventPattern  = regexp.MustCompile(` event=("[^"]*"|\S+)`)
	reasonPattern = regexp.MustCompile(` reason=\S+`)
)

// logEvents logs how often each event with its reason is in the logs of the gateways,
// which tells what a run has exercised.
func logEvents(t *testing.T, r *Report) {
	counts := make(map[string]int)
	for _, text := range r.Logs {
		for line := range strings.Lines(text) {
			if event := eventPattern.FindString(line); event != "" {
				counts[strings.TrimSpace(event+reasonPattern.FindString(line))]++
			}
		}
	}
	for _, event := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%d times %s", counts[event], event)
	}
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
