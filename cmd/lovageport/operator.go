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

// Limits for calls of the operators' API.
const (
	callTimeout = 15 * time.Second
	// maxApplyAttempts bounds how often a change with an unknown outcome is sent.
	maxApplyAttempts = 5
	applyRetryDelay  = time.Second
)

// clientFlags holds the flags for calls of an entry's operators' API.
type clientFlags struct {
	Server string `default:"http://127.0.0.1:8081" env:"LOVAGEPORT_SERVER" help:"URL of an entry's operators' API."`
	Key    string `env:"LOVAGEPORT_KEY" help:"Key of the operator."`
}

func (f *clientFlags) client() operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, f.Server)
}

// newRequest returns a request that is authenticated with the operator's key.
func newRequest[T any](f *clientFlags, message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+f.Key)
	return r
}

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// applyCommand applies declaration files.
type applyCommand struct {
	clientFlags
	Files    []string `short:"f" required:"" type:"path" help:"Declaration files; together they are the whole configuration."`
	ChangeID string   `help:"ID of the change; a change sent again has no further effect. Generated if not given."`
	Expect   int64    `default:"-1" help:"Generation that the change is based on; the current one if not given."`
}

// Run applies the files and prints the generation that they have become.
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
		current, err := c.client().Get(ctx, newRequest(&c.clientFlags, &operatorv1.GetRequest{}))
		if err != nil {
			return err
		}
		c.Expect = current.Msg.Generation
	}
	response, err := c.send(protoFiles(files))
	if err != nil {
		return fmt.Errorf("change %s: %w", c.ChangeID, err)
	}
	if len(response.Faults) > 0 {
		return faultsError(faultsFromProto(response.Faults))
	}
	fmt.Printf("change %s accepted as generation %d\n", c.ChangeID, response.Generation)
	return nil
}

// send sends the change. It sends it again if the call fails with CodeUnknown,
// because the outcome is unknown then. That is safe because the change has an ID.
func (c *applyCommand) send(files []*operatorv1.File) (*operatorv1.ApplyResponse, error) {
	message := &operatorv1.ApplyRequest{ChangeId: c.ChangeID, ExpectedGeneration: c.Expect, Files: files}
	for attempt := 1; ; attempt++ {
		ctx, cancel := callContext()
		response, err := c.client().Apply(ctx, newRequest(&c.clientFlags, message))
		cancel()
		if err == nil {
			return response.Msg, nil
		}
		if connect.CodeOf(err) != connect.CodeUnknown || attempt == maxApplyAttempts {
			return nil, err
		}
		fmt.Fprintf(os.Stderr, "outcome of change %s unknown, sending it again: %v\n", c.ChangeID, err)
		time.Sleep(applyRetryDelay)
	}
}

func protoFiles(files []declaration.File) []*operatorv1.File {
	out := make([]*operatorv1.File, 0, len(files))
	for _, f := range files {
		out = append(out, &operatorv1.File{Name: f.Name, Text: f.Text})
	}
	return out
}

func faultsFromProto(faults []*operatorv1.Fault) []declaration.Fault {
	out := make([]declaration.Fault, 0, len(faults))
	for _, f := range faults {
		out = append(out, declaration.Fault{File: f.File, Line: int(f.Line), Path: f.Path, Message: f.Message})
	}
	return out
}

// diffCommand shows which objects apply would change.
type diffCommand struct {
	clientFlags
	Files []string `short:"f" required:"" type:"path" help:"Declaration files; together they are the whole configuration."`
}

// Run prints one changed object per line.
func (c *diffCommand) Run() error {
	files, err := readFiles(c.Files)
	if err != nil {
		return &badInputError{err}
	}
	ctx, cancel := callContext()
	defer cancel()
	response, err := c.client().Diff(ctx, newRequest(&c.clientFlags, &operatorv1.DiffRequest{Files: protoFiles(files)}))
	if err != nil {
		return err
	}
	if len(response.Msg.Faults) > 0 {
		return faultsError(faultsFromProto(response.Msg.Faults))
	}
	for _, change := range response.Msg.Changes {
		fmt.Printf("%s %s %s\n", change.Action, change.Kind, change.Name)
	}
	return nil
}

// getCommand prints the accepted configuration.
type getCommand struct{ clientFlags }

// Run prints the configuration as TOML.
func (c *getCommand) Run() error {
	ctx, cancel := callContext()
	defer cancel()
	response, err := c.client().Get(ctx, newRequest(&c.clientFlags, &operatorv1.GetRequest{}))
	if err != nil {
		return err
	}
	fmt.Printf("# generation %d, change %q by %q\n%s", response.Msg.Generation, response.Msg.ChangeId, response.Msg.Operator, response.Msg.Toml)
	return nil
}

// statusCommand shows the state of an entry.
type statusCommand struct{ clientFlags }

// Run prints the state of the entry and tables of its peers and upstreams.
func (c *statusCommand) Run() error {
	ctx, cancel := callContext()
	defer cancel()
	response, err := c.client().Status(ctx, newRequest(&c.clientFlags, &operatorv1.StatusRequest{}))
	if err != nil {
		return err
	}
	m := response.Msg
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
	clientFlags
	ChangeID  string   `help:"ID of the withdrawal. Generated if not given."`
	Upstreams []string `arg:"" help:"Names of the upstreams."`
}

// Run withdraws the upstreams and prints the entries where that is in force.
func (c *withdrawCommand) Run() error {
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	ctx, cancel := callContext()
	defer cancel()
	response, err := c.client().Withdraw(ctx, newRequest(&c.clientFlags, &operatorv1.WithdrawRequest{ChangeId: c.ChangeID, Upstreams: c.Upstreams}))
	if err != nil {
		return err
	}
	printResult("withdrawal "+c.ChangeID, response.Msg)
	return nil
}

// returnCommand puts upstreams back in service.
type returnCommand struct {
	clientFlags
	Upstreams []string `arg:"" help:"Names of the upstreams."`
}

// Run returns the upstreams and prints the entries where that is in force.
func (c *returnCommand) Run() error {
	ctx, cancel := callContext()
	defer cancel()
	response, err := c.client().Return(ctx, newRequest(&c.clientFlags, &operatorv1.ReturnRequest{Upstreams: c.Upstreams}))
	if err != nil {
		return err
	}
	printResult("return", response.Msg)
	return nil
}

// printResult prints the entries where an action on upstreams is in force and
// those that were not reached.
func printResult(action string, m *operatorv1.WithdrawResponse) {
	fmt.Printf("%s in force at %s\n", action, strings.Join(m.InForceAt, ", "))
	if len(m.NotReached) > 0 {
		fmt.Printf("not reached: %s\n", strings.Join(m.NotReached, ", "))
	}
	if !m.Stored {
		fmt.Println("not yet stored: it will be when the platform is reachable again")
	}
}

// drainCommand takes an entry out of service gracefully.
type drainCommand struct{ clientFlags }

// Run asks the entry to drain.
func (c *drainCommand) Run() error {
	ctx, cancel := callContext()
	defer cancel()
	response, err := c.client().Drain(ctx, newRequest(&c.clientFlags, &operatorv1.DrainRequest{}))
	if err != nil {
		return err
	}
	fmt.Printf("draining, %d requests in flight\n", response.Msg.InFlight)
	return nil
}
