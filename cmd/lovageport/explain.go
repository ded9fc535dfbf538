package main

import (
	"errors"
	"io"
	"os"
	"time"

	"lovageport.example/internal/history"
)

// explainCommand reconstructs from logs what happened to a request.
type explainCommand struct {
	Request string        `arg:"" help:"ID of the request, as in its response."`
	Files   []string      `arg:"" optional:"" type:"existingfile" help:"Log files, one for each process; standard input if none is given."`
	Before  time.Duration `default:"10s" help:"How long before the arrival of the request to include events."`
	After   time.Duration `default:"1s" help:"How long after the end of the request to include events."`
}

// Run prints the timeline of the request.
func (c *explainCommand) Run() error {
	return c.explain(os.Stdin, os.Stdout)
}

func (c *explainCommand) explain(in io.Reader, out io.Writer) error {
	requestLog := &history.RequestLog{Request: c.Request}
	if err := readLogs(requestLog, c.Files, in); err != nil {
		return err
	}
	timeline, err := requestLog.Timeline(c.Before, c.After)
	if errors.Is(err, history.ErrRequestNotFound) {
		return &badInputError{err}
	}
	if err != nil {
		return err
	}
	return timeline.Print(out)
}

// causesCommand counts the causes of late and failed requests in logs.
type causesCommand struct {
	Files []string      `arg:"" optional:"" type:"existingfile" help:"Log files, one for each process; standard input if none is given."`
	First time.Duration `default:"500ms" help:"Time to the first event above which a response is late."`
	Pause time.Duration `default:"200ms" help:"Pause between two events above which a response is late."`
}

// Run prints the causes and their counts.
func (c *causesCommand) Run() error {
	causes := &history.CauseCounter{Thresholds: history.Thresholds{FirstEvent: c.First, Pause: c.Pause}}
	if err := readLogs(causes, c.Files, os.Stdin); err != nil {
		return err
	}
	return causes.Print(os.Stdout)
}

// logReader reads the logs of processes. source names the process of lines that
// name none.
type logReader interface {
	Read(r io.Reader, source string) error
}

// readLogs passes each file to reader, or in if there are no files.
func readLogs(reader logReader, files []string, in io.Reader) error {
	if len(files) == 0 {
		return reader.Read(in, "-")
	}
	for _, file := range files {
		if err := readLog(reader, file); err != nil {
			return err
		}
	}
	return nil
}

func readLog(reader logReader, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	return reader.Read(f, file)
}
