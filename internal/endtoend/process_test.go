package endtoend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/standin/engine"
	"lovageport.example/internal/standin/program"
	"lovageport.example/internal/standin/service"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/pkg/declaration"
)

// binDir is the directory of the built binaries.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(program.WithBinaries(func(dir string) int {
		binDir = dir
		return m.Run()
	}))
}

const (
	startTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// system is a set of running processes: a platform, upstreams and entries.
type system struct {
	t         testing.TB
	dir       string
	platform  string
	upstreams []declaration.Upstream
	entries   []*process
	// notice is the notice period of a drain.
	notice time.Duration
}

// process is a running program. The addresses are set for entries only.
type process struct {
	command   *exec.Cmd
	output    *bytes.Buffer
	done      chan struct{}
	callers   string
	operators string
	peers     string
}

// freeAddress returns a free address on loopback.
func freeAddress(t testing.TB) string {
	address, err := program.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	return address
}

// startProgram runs a binary until the test ends. If the test has failed, it
// logs the output of the program.
func startProgram(t testing.TB, name string, args ...string) *process {
	output := &bytes.Buffer{}
	started, err := program.Start(binDir, name, output, args...)
	qt.Assert(t, err, qt.IsNil)
	p := &process{command: started.Command, output: output, done: started.Done}
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("%s %v:\n%s", name, args, p.output)
		}
	})
	return p
}

// awaitListening waits until an address accepts connections.
func awaitListening(t testing.TB, address string) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
			return
		}
	}
	t.Fatalf("no listener at %s", address)
}

const (
	model       = "florist-7b"
	layers      = 12
	accountKey  = "sk-shop"
	operatorKey = "op-admin"
)

// drainNotice is the notice period of entries, unless a test needs another.
const drainNotice = 200 * time.Millisecond

// startSystem starts a platform, an engine for each third of the model, a
// plain service and entries, and applies the declaration with the command
// line.
func startSystem(t testing.TB, entries int, engineArgs ...string) *system {
	return startSystemWithNotice(t, drainNotice, entries, engineArgs...)
}

// startSystemWithNotice is startSystem with entries that have a given notice period.
func startSystemWithNotice(t testing.TB, notice time.Duration, entries int, engineArgs ...string) *system {
	s := &system{t: t, dir: t.TempDir(), platform: freeAddress(t), notice: notice}
	startProgram(t, "standin", "platform", "--listen", s.platform, "--credential", "vm")
	for i := range 3 {
		u := declaration.Upstream{
			Name: fmt.Sprintf("engine-%d", i), Owner: []string{"wien", "graz", "linz"}[i], Zone: "wien",
			Kind: declaration.Engine, Address: freeAddress(t), Slots: 256, LayersPerSecond: 4000,
			Held: []declaration.Held{{Model: model, LayerRange: declaration.LayerRange{From: i * layers / 3, To: (i + 1) * layers / 3}}},
		}
		args := append([]string{"engine", "--listen", u.Address, "--name", u.Name}, engineArgs...)
		startProgram(t, "standin", args...)
		s.upstreams = append(s.upstreams, u)
	}
	u := declaration.Upstream{Name: "service-1", Owner: "wien", Zone: "wien", Kind: declaration.PlainService, Address: freeAddress(t), Slots: 64}
	startProgram(t, "standin", "service", "--listen", u.Address, "--name", u.Name)
	s.upstreams = append(s.upstreams, u)
	awaitListening(t, s.platform)
	for _, u := range s.upstreams {
		awaitListening(t, u.Address)
	}
	for range entries {
		s.addEntry()
	}
	for _, e := range s.entries {
		s.startEntry(e)
	}
	s.applyDeclaration()
	s.awaitReady()
	return s
}

// addEntry adds an entry and chooses its addresses.
func (s *system) addEntry() {
	s.entries = append(s.entries, &process{callers: freeAddress(s.t), operators: freeAddress(s.t), peers: freeAddress(s.t)})
}

// startEntry starts the process of an entry that addEntry has added.
func (s *system) startEntry(e *process) {
	var b strings.Builder
	name := "entry-" + strings.ReplaceAll(e.peers, ":", "-")
	fmt.Fprintf(&b, "Name = %q\nZone = \"wien\"\n", name)
	fmt.Fprintf(&b, "[Listen]\nCallers = %q\nOperators = %q\nPeers = %q\n", e.callers, e.operators, e.peers)
	fmt.Fprintf(&b, "[Platform]\nAddress = %q\nCredential = \"vm\"\n", s.platform)
	fmt.Fprintf(&b, "[Peers]\nSecret = \"secret\"\n")
	fmt.Fprintf(&b, "[Operators]\nBootstrapKeyHash = %q\n", catalog.HashKey(operatorKey))
	fmt.Fprintf(&b, "[Drain]\nNotice = %q\n", s.notice.String())
	for _, other := range s.entries {
		if other != e {
			fmt.Fprintf(&b, "[[Peers.Seeds]]\nName = %q\nZone = \"wien\"\nAddress = %q\n", "entry-"+strings.ReplaceAll(other.peers, ":", "-"), other.peers)
		}
	}
	path := filepath.Join(s.dir, name+".toml")
	writeLimits(s.t, path, b.String(), "--config", manyDescriptors)
	started := startProgram(s.t, "lovageport", "serve", "--config", path)
	e.command, e.output, e.done = started.command, started.output, started.done
	awaitListening(s.t, e.operators)
}

func (s *system) declarationText() []byte {
	set := declaration.Set{
		Models:    []declaration.Model{{Name: model, Layers: layers, MaxOutputTokens: 100000}},
		Pipelines: []declaration.Pipeline{{Name: "cards", Model: model}},
		Upstreams: s.upstreams,
		Accounts:  []declaration.Account{{Name: "shop", KeyHashes: []string{catalog.HashKey(accountKey)}, Priority: 5}},
		Services: []declaration.Service{{
			Name: "ladentisch", Upstreams: []string{"service-1"}, Timeout: declaration.Span(5 * time.Second), EchoesAttempt: true,
			Operations: []declaration.Operation{{Method: http.MethodPost, Path: "/bookings"}},
		}},
		Operators: []declaration.Operator{{Name: "admin", KeyHash: catalog.HashKey(operatorKey), Admin: true}},
	}
	for _, u := range s.upstreams[:3] {
		set.Loans = append(set.Loans, declaration.Loan{
			Name: u.Owner, Owner: u.Owner, Upstreams: []string{u.Name}, Pipelines: []string{"cards"}, Accepted: true,
		})
	}
	text, err := declaration.Format(set)
	qt.Assert(s.t, err, qt.IsNil)
	return text
}

// runCommand runs an operator's command against the first entry.
func (s *system) runCommand(args ...string) (string, error) {
	args = append(args, "--server", "http://"+s.entries[0].operators, "--key", operatorKey)
	out, err := exec.Command(filepath.Join(binDir, "lovageport"), args...).CombinedOutput()
	return string(out), err
}

func (s *system) applyDeclaration() {
	path := filepath.Join(s.dir, "set.toml")
	qt.Assert(s.t, os.WriteFile(path, s.declarationText(), 0o600), qt.IsNil)
	out, err := s.runCommand("apply", "-f", path, "--change-id", "first")
	qt.Assert(s.t, err, qt.IsNil, qt.Commentf("%s", out))
}

func (s *system) awaitReady() {
	end := time.Now().Add(startTimeout)
	for _, e := range s.entries {
		for !isReady(e) {
			if time.Now().After(end) {
				s.t.Fatalf("entry at %s not ready", e.operators)
			}
			time.Sleep(pollInterval)
		}
	}
}

func isReady(e *process) bool {
	response, err := http.Get("http://" + e.operators + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// post sends a caller's request to an entry.
func post(e *process, path, key, body string) (*http.Response, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// engineRuns returns the tokens that an engine has run.
func engineRuns(t *testing.T, u declaration.Upstream) []engine.Run {
	response, err := http.Get("http://" + u.Address + engine.RunsPath)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	var runs []engine.Run
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&runs), qt.IsNil)
	return runs
}

// TestStreamCrossesThreeUpstreams checks that a chain of three processes
// streams a complete answer and that every layer runs once for each token.
func TestStreamCrossesThreeUpstreams(t *testing.T) {
	s := startSystem(t, 3)
	const tokens = 16
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"a card for Mother"}`, model, tokens)
	for _, e := range s.entries {
		_, text, err := post(e, "/v1/completions", "", body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, strings.HasSuffix(text, "data: [DONE]\n\n"), qt.IsTrue)
		for i := range tokens {
			qt.Check(t, strings.Count(text, `"text":"`+engine.TokenText("a card for Mother", i)+`"`), qt.Equals, 1)
		}
	}
	// covered counts how often each layer ran for each token of each attempt.
	type place struct {
		attempt      string
		index, layer int
	}
	covered := make(map[place]int)
	for _, u := range s.upstreams[:3] {
		for _, r := range engineRuns(t, u) {
			for layer := r.Span.From; layer < r.Span.To; layer++ {
				covered[place{r.Attempt, r.Index, layer}]++
			}
		}
	}
	qt.Check(t, covered, qt.HasLen, len(s.entries)*tokens*layers)
	for at, n := range covered {
		qt.Check(t, n, qt.Equals, 1, qt.Commentf("%+v", at))
	}
}

// TestBookingRunsOnce checks that a booking sent through all entries has one
// side effect, even if the first entry is killed.
func TestBookingRunsOnce(t *testing.T) {
	s := startSystem(t, 3)
	for i, e := range s.entries {
		response, text, err := post(e, "/services/ladentisch/bookings", "k1", "roses")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		qt.Check(t, response.Header.Get("Lovageport-Replayed") == "true", qt.Equals, i > 0)
		if i == 0 {
			qt.Assert(t, e.command.Process.Kill(), qt.IsNil)
			<-e.done
		}
	}
	response, err := http.Get("http://" + s.upstreams[3].Address + service.EffectsPath)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	var effects []service.Effect
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&effects), qt.IsNil)
	qt.Check(t, effects, qt.HasLen, 1)
}

// TestCommandLine checks the operators' commands.
func TestCommandLine(t *testing.T) {
	s := startSystem(t, 2)
	run := func(wants []string, args ...string) {
		t.Helper()
		out, err := s.runCommand(args...)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", out))
		for _, want := range wants {
			qt.Check(t, strings.Contains(out, want), qt.IsTrue, qt.Commentf("%v: no %q in:\n%s", args, want, out))
		}
	}
	run([]string{"# generation 1", "florist-7b"}, "get")
	run([]string{"generation=1", "ready=true", "engine-0", "in_service"}, "status")
	run([]string{"in force at entry-"}, "withdraw", "engine-1")
	run([]string{"withdrawn"}, "status")
	run([]string{"in force at entry-"}, "return", "engine-1")
	path := filepath.Join(s.dir, "set.toml")
	run(nil, "diff", "-f", path)
	run([]string{"accepted as generation 1"}, "apply", "-f", path, "--change-id", "first")
	bad := filepath.Join(s.dir, "bad.toml")
	qt.Assert(t, os.WriteFile(bad, []byte("[[Models]]\nName = \"m\"\nLayers = 0\n"), 0o600), qt.IsNil)
	out, err := s.runCommand("apply", "-f", bad)
	qt.Check(t, exitCode(err), qt.Equals, 2)
	qt.Check(t, strings.Contains(out, "bad.toml:3: Models[0].Layers"), qt.IsTrue, qt.Commentf("%s", out))
	run([]string{"draining"}, "drain")
	<-s.entries[0].done
}

func exitCode(err error) int {
	exit, ok := err.(*exec.ExitError)
	if !ok {
		return 0
	}
	return exit.ExitCode()
}

// TestBadSettings checks that serve and check reject an invalid settings file
// with exit code 2 and an error that names the file, line and key.
func TestBadSettings(t *testing.T) {
	good := "Name = \"e\"\nZone = \"z\"\n[Listen]\nCallers = \"127.0.0.1:1\"\nOperators = \"127.0.0.1:2\"\nPeers = \"127.0.0.1:3\"\n" +
		"[Platform]\nAddress = \"127.0.0.1:4\"\nCredential = \"c\"\n[Peers]\nSecret = \"s\"\n"
	tests := []struct{ name, old, new, want string }{
		{"unknown key", "Zone =", "Zonne = \"x\"\nZone =", ":2: Zonne: unknown key"},
		{"bad address", "127.0.0.1:2", "localhost", ":5: Listen.Operators: \"localhost\" is no address"},
		{"missing value", "Secret = \"s\"", "", "Peers.Secret: missing"},
		{"duration without unit", "[Peers]", "Timeout = \"5\"\n[Peers]", ":10: "},
		{"number for a duration", "[Peers]", "Timeout = 5\n[Peers]", ":10: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "entry.toml")
			qt.Assert(t, os.WriteFile(path, []byte(strings.Replace(good, tt.old, tt.new, 1)), 0o600), qt.IsNil)
			for _, command := range []string{"serve", "check"} {
				out, err := exec.Command(filepath.Join(binDir, "lovageport"), command, "--config", path).CombinedOutput()
				qt.Check(t, exitCode(err), qt.Equals, 2)
				qt.Check(t, strings.Contains(string(out), "entry.toml"+tt.want) || strings.Contains(string(out), tt.want), qt.IsTrue, qt.Commentf("%s", out))
			}
		})
	}
}
