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
	log := &history.RequestLog{Request: c.Request}
	if err := readLogs(log, c.Files, in); err != nil {
		return err
	}
	story, err := log.Timeline(c.Before, c.After)
	if errors.Is(err, history.ErrRequestNotFound) {
		return &badInputError{err}
	}
	if err != nil {
		return err
	}
	return story.Print(out)
}

// causesCommand counts from logs why requests were late or failed.
type causesCommand struct {
	Files []string      `arg:"" optional:"" type:"existingfile" help:"Logs, one of each process; standard input if there are none."`
	First time.Duration `default:"500ms" help:"Longest time to the first event that is not late."`
	Pause time.Duration `default:"200ms" help:"Longest pause between two events that is not late."`
}

// Run prints the causes with their counts.
func (c *causesCommand) Run() error {
	causes := &history.CauseCounter{Thresholds: history.Thresholds{FirstEvent: c.First, Pause: c.Pause}}
	if err := readLogs(causes, c.Files, os.Stdin); err != nil {
		return err
	}
	return causes.Print(os.Stdout)
}

// logReader takes in the logs of processes.
type logReader interface {
	Read(r io.Reader, source string) error
}

// readLogs reads files, or in if there are none.
func readLogs(to logReader, files []string, in io.Reader) error {
	if len(files) == 0 {
		return to.Read(in, "-")
	}
	for _, file := range files {
		if err := readLog(to, file); err != nil {
			return err
		}
	}
	return nil
}

func readLog(to logReader, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	return to.Read(f, file)
}
