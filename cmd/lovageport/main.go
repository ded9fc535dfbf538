// Command lovageport runs an entry or a gateway process and is the operators'
// command-line client.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"lovageport.example/internal/setting"
)

// version is set by the linker in release builds.
var version = "dev"

// commands holds the subcommands.
type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run an entry process."`
	Gateway  gatewayCommand  `cmd:"" help:"Run a gateway process on the users' platform."`
	Check    checkCommand    `cmd:"" help:"Check settings files and declaration files without starting anything."`
	Dev      devCommand      `cmd:"" help:"Run an entry, a platform and upstreams in one process on loopback, with a small configuration."`
	Apply    applyCommand    `cmd:"" help:"Make the declaration files the accepted configuration."`
	Diff     diffCommand     `cmd:"" help:"Show what apply would change."`
	Get      getCommand      `cmd:"" help:"Print the accepted configuration."`
	Explain  explainCommand  `cmd:"" help:"Reconstruct from logs what happened to a request."`
	Choose   chooseCommand   `cmd:"" help:"Ask a running gateway where a request would go now, and why, without sending it."`
	Causes   causesCommand   `cmd:"" help:"Count the causes of late and failed requests in logs."`
	Status   statusCommand   `cmd:"" help:"Show the state of an entry, its peers and the upstreams."`
	Withdraw withdrawCommand `cmd:"" help:"Take upstreams out of service."`
	Return   returnCommand   `cmd:"" help:"Put withdrawn upstreams back in service."`
	Drain    drainCommand    `cmd:"" help:"Take an entry out of service gracefully."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// Exit codes.
const (
	exitFailure = 1
	// exitBadInput is for an invalid file or argument.
	exitBadInput = 2
)

// badInputError wraps an error for which the process exits with exitBadInput.
type badInputError struct{ err error }

func (e *badInputError) Error() string { return e.err.Error() }
func (e *badInputError) Unwrap() error { return e.err }

func main() {
	var c commands
	command := kong.Parse(&c, kong.Name("lovageport"),
		kong.Description("Router for model pipelines over accelerators lent by separate teams."))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var invalid *setting.Error
	var input *badInputError
	if errors.As(err, &invalid) || errors.As(err, &input) {
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
