// Command lab runs the scripted cases of the second review. Each case starts gateways as
// separate processes, with stand-ins for the platform's store, the runners and the clients
// in this process, and checks one rule on what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseFunc runs one case. The disruption is left out unless trouble is set. It returns
// the violations of the rule.
type caseFunc func(l *lab, trouble bool) ([]string, error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 {
		usage()
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		usage()
	}
	os.Exit(runCase(os.Args[1], os.Args[2], run))
}

func usage() {
	var names []string
	for name := range cases {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintf(os.Stderr, "usage: lab CASE DIRECTORY\ncases: %s\n", strings.Join(names, ", "))
	os.Exit(exitFailed)
}

// endOnSignal ends the case and its processes if this process is interrupted.
func endOnSignal(l *lab) {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		l.record("interrupted by %v", <-interrupts)
		l.abandon()
		os.Exit(exitFailed)
	}()
}

// runCase runs a case in the directory of its record and returns the exit code.
func runCase(name, directory string, run caseFunc) int {
	trouble := os.Getenv("TROUBLE") != "0"
	l, err := newLab(directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	l.record("case %s, disruption: %v", name, trouble)
	endOnSignal(l)
	broken, err := run(l, trouble)
	l.close()
	switch {
	case err != nil:
		l.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case len(broken) > 0:
		for _, b := range broken {
			l.record("BROKEN: %s", b)
		}
		fmt.Printf("%s: rule broken, %d times; the first: %s\n", name, len(broken), broken[0])
		return exitBroken
	}
	l.record("the rule held")
	fmt.Printf("%s: rule held\n", name)
	return exitHeld
}
