package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

func (r *record) log(what, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %-8s %s\n", time.Since(r.began).Seconds(), what, fmt.Sprintf(format, args...))
}

// say is log that also prints the line.
func (r *record) say(what, format string, args ...any) {
	r.log(what, format, args...)
	fmt.Printf("%9.3f %-8s %s\n", time.Since(r.began).Seconds(), what, fmt.Sprintf(format, args...))
}

// since returns the seconds from the beginning of the record to t.
func (r *record) since(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
