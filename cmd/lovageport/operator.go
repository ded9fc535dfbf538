package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"lovageport.example/pkg/declaration"
	operatorv1 "lovageport.example/pkg/operatorapi/v1"
	"lovageport.example/pkg/operatorapi/v1/operatorv1connect"
)

// Bounds of calls of the operators' API.
const (
	callTimeout = 15 * time.Second
	// applyTries bounds how often a change with an unknown outcome is sent.
	applyTries = 5
	applyPause = time.Second
)

// server is how an entry's operators' API is reached.
type server struct {
	Server string `default:"http://127.0.0.1:8081" env:"LOVAGEPORT_SERVER" help:"Operators' address of an entry."`
	Key    string `env:"LOVAGEPORT_KEY" help:"Operator key."`
}

func (s *server) client() operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, s.Server)
}

// request returns a call with the operator's key.
func request[T any](s *server, message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+s.Key)
	return r
}

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// applyCommand applies declared files.
type applyCommand struct {
	server
	Files    []string `short:"f" required:"" type:"path" help:"Declared files; together they are the whole set."`
	ChangeID string   `help:"Name of the change; sending it again has no further effect. Made up if not given."`
	Expect   int64    `default:"-1" help:"Generation that the change builds on; the present one if not given."`
}

// Run applies the files.
func (c *applyCommand) Run() error {
	files, err := readFiles(c.Files)
	if err != nil {
		return &badInputError{err}
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	if c.Expect < 0 {
		ctx, cancel := callContext()
		defer cancel()
		got, err := c.client().Get(ctx, request(&c.server, &operatorv1.GetRequest{}))
		if err != nil {
			return err
		}
		c.Expect = got.Msg.Generation
	}
	answer, err := c.send(wireFiles(files))
	if err != nil {
		return fmt.Errorf("change %s: %w", c.ChangeID, err)
	}
	if len(answer.Faults) > 0 {
		return faultsError(ownFaults(answer.Faults))
	}
	fmt.Printf("change %s accepted as generation %d\n", c.ChangeID, answer.Generation)
	return nil
}

// send sends the change until its outcome is known.
func (c *applyCommand) send(files []*operatorv1.File) (*operatorv1.ApplyResponse, error) {
	message := &operatorv1.ApplyRequest{ChangeId: c.ChangeID, ExpectedGeneration: c.Expect, Files: files}
	for try := 1; ; try++ {
		ctx, cancel := callContext()
		answer, err := c.client().Apply(ctx, request(&c.server, message))
		cancel()
		if err == nil {
			return answer.Msg, nil
		}
		if connect.CodeOf(err) != connect.CodeUnknown || try == applyTries {
			return nil, err
		}
		fmt.Fprintf(os.Stderr, "outcome of change %s unknown, sending it again: %v\n", c.ChangeID, err)
		time.Sleep(applyPause)
	}
}

func wireFiles(files []declaration.File) []*operatorv1.File {
	out := make([]*operatorv1.File, 0, len(files))
	for _, f := range files {
		out = append(out, &operatorv1.File{Name: f.Name, Text: f.Text})
	}
	return out
}

func ownFaults(faults []*operatorv1.Fault) []declaration.Fault {
	out := make([]declaration.Fault, 0, len(faults))
	for _, f := range faults {
		out = append(out, declaration.Fault{File: f.File, Line: int(f.Line), Path: f.Path, Message: f.Message})
	}
	return out
}

// diffCommand shows what would change.
type diffCommand struct {
	server
	Files []string `short:"f" required:"" type:"path" help:"Declared files; together they are the whole set."`
}

// Run prints one changed object a line.
func (c *diffCommand) Run() error {
	files, err := readFiles(c.Files)
	if err != nil {
		return &badInputError{err}
	}
	ctx, cancel := callContext()
	defer cancel()
	answer, err := c.client().Diff(ctx, request(&c.server, &operatorv1.DiffRequest{Files: wireFiles(files)}))
	if err != nil {
		return err
	}
	if len(answer.Msg.Faults) > 0 {
		return faultsError(ownFaults(answer.Msg.Faults))
	}
	for _, change := range answer.Msg.Changes {
		fmt.Printf("%s %s %s\n", change.Action, change.Kind, change.Name)
	}
	return nil
}

// getCommand prints the accepted configuration.
type getCommand struct{ server }

// Run prints it as TOML.
func (c *getCommand) Run() error {
	ctx, cancel := callContext()
	defer cancel()
	answer, err := c.client().Get(ctx, request(&c.server, &operatorv1.GetRequest{}))
	if err != nil {
		return err
	}
	fmt.Printf("# generation %d, change %q by %q\n%s", answer.Msg.Generation, answer.Msg.ChangeId, answer.Msg.Operator, answer.Msg.Toml)
	return nil
}

// statusCommand shows an entry.
type statusCommand struct{ server }

// Run prints the entry, then tables of its peers and upstreams.
func (c *statusCommand) Run() error {
	ctx, cancel := callContext()
	defer cancel()
	answer, err := c.client().Status(ctx, request(&c.server, &operatorv1.StatusRequest{}))
	if err != nil {
		return err
	}
	m := answer.Msg
	fmt.Printf("entry=%s zone=%s version=%s generation=%d ready=%t draining=%t platform_reachable=%t in_flight=%d queued=%d\n",
		m.Entry, m.Zone, m.Version, m.Generation, m.Ready, m.Draining, m.PlatformReachable, m.InFlight, m.Queued)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nPEER\tZONE\tGENERATION\tSILENT")
	for _, p := range m.Peers {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", p.Name, p.Zone, p.Generation, time.Duration(p.SilentMillis)*time.Millisecond)
	}
	fmt.Fprintln(table, "\nUPSTREAM\tOWNER\tZONE\tSTATE\tIN FLIGHT\tSLOTS")
	for _, u := range m.Upstreams {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n", u.Name, u.Owner, u.Zone, u.State, u.InFlight, u.Slots)
	}
	return table.Flush()
}

// withdrawCommand takes upstreams out of service.
type withdrawCommand struct {
	server
	ChangeID  string   `help:"Name of the withdrawal. Made up if not given."`
	Upstreams []string `arg:"" help:"Names of the upstreams."`
}

// Run withdraws the upstreams and says where that is in force.
func (c *withdrawCommand) Run() error {
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	ctx, cancel := callContext()
	defer cancel()
	answer, err := c.client().Withdraw(ctx, request(&c.server, &operatorv1.WithdrawRequest{ChangeId: c.ChangeID, Upstreams: c.Upstreams}))
	if err != nil {
		return err
	}
	printSpread("withdrawal "+c.ChangeID, answer.Msg)
	return nil
}

// returnCommand puts upstreams back in service.
type returnCommand struct {
	server
	Upstreams []string `arg:"" help:"Names of the upstreams."`
}

// Run returns the upstreams and says where that is in force.
func (c *returnCommand) Run() error {
	ctx, cancel := callContext()
	defer cancel()
	answer, err := c.client().Return(ctx, request(&c.server, &operatorv1.ReturnRequest{Upstreams: c.Upstreams}))
	if err != nil {
		return err
	}
	printSpread("return", answer.Msg)
	return nil
}

func printSpread(what string, m *operatorv1.WithdrawResponse) {
	fmt.Printf("%s in force at %s\n", what, strings.Join(m.InForceAt, ", "))
	if len(m.NotReached) > 0 {
		fmt.Printf("not reached: %s\n", strings.Join(m.NotReached, ", "))
	}
	if !m.Stored {
		fmt.Println("not yet stored; it will be once the platform is back")
	}
}

// drainCommand takes an entry out of service.
type drainCommand struct{ server }

// Run asks the entry to drain.
func (c *drainCommand) Run() error {
	ctx, cancel := callContext()
	defer cancel()
	answer, err := c.client().Drain(ctx, request(&c.server, &operatorv1.DrainRequest{}))
	if err != nil {
		return err
	}
	fmt.Printf("draining, %d requests in flight\n", answer.Msg.InFlight)
	return nil
}
