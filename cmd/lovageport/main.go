// Command lovageport runs an entry process, and is the operators' command line.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"lovageport.example/internal/setting"
)

// version is set when a release is built.
var version = "dev"

// commands are those of the command line.
type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run an entry process."`
	Gateway  gatewayCommand  `cmd:"" help:"Run a gateway process on the users' platform."`
	Check    checkCommand    `cmd:"" help:"Check a settings file and declared sets without starting anything."`
	Dev      devCommand      `cmd:"" help:"Run everything in one process on loopback, with a small declared set."`
	Apply    applyCommand    `cmd:"" help:"Make declared files the accepted configuration."`
	Diff     diffCommand     `cmd:"" help:"Show what apply would change."`
	Get      getCommand      `cmd:"" help:"Print the accepted configuration."`
	Explain  explainCommand  `cmd:"" help:"Tell from logs what happened to a request."`
	Causes   causesCommand   `cmd:"" help:"Count from logs why requests were late or failed."`
	Status   statusCommand   `cmd:"" help:"Show an entry, its peers and the upstreams."`
	Withdraw withdrawCommand `cmd:"" help:"Take upstreams out of service."`
	Return   returnCommand   `cmd:"" help:"Put withdrawn upstreams back in service."`
	Drain    drainCommand    `cmd:"" help:"Take an entry out of service gracefully."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// Exit codes.
const (
	exitFailure = 1
	// exitBadInput says that a file or argument is wrong.
	exitBadInput = 2
)

// badInputError is an error that ends the process with exitBadInput.
type badInputError struct{ err error }

func (e *badInputError) Error() string { return e.err.Error() }
func (e *badInputError) Unwrap() error { return e.err }

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("lovageport"),
		kong.Description("Router for model pipelines over accelerators lent by separate teams."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var settings *setting.Error
	var input *badInputError
	if errors.As(err, &settings) || errors.As(err, &input) {
		return exitBadInput
	}
	return exitFailure
}

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	fmt.Println("lovageport", version)
	return nil
}
