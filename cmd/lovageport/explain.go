package main

import (
	"errors"
	"io"
	"os"
	"time"

	"lovageport.example/internal/history"
)

// explainCommand tells from logs what happened to a request.
type explainCommand struct {
	Request string        `arg:"" help:"ID of the request, as in its answer."`
	Files   []string      `arg:"" optional:"" type:"existingfile" help:"Logs, one of each process; standard input if there are none."`
	Before  time.Duration `default:"10s" help:"How long before its arrival to look for causes."`
	After   time.Duration `default:"1s" help:"How long after its end to look."`
}

// Run prints the request's story.
func (c *explainCommand) Run() error {
	return c.explain(os.Stdin, os.Stdout)
}

func (c *explainCommand) explain(in io.Reader, out io.Writer) error {
	log := &history.Log{Request: c.Request}
	if len(c.Files) == 0 {
		if err := log.Read(in, "-"); err != nil {
			return err
		}
	}
	for _, file := range c.Files {
		if err := readLog(log, file); err != nil {
			return err
		}
	}
	story, err := log.Story(c.Before, c.After)
	if errors.Is(err, history.ErrUnknown) {
		return &badInputError{err}
	}
	if err != nil {
		return err
	}
	return story.Print(out)
}

func readLog(log *history.Log, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	return log.Read(f, file)
}
