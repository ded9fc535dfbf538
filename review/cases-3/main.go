// Command cases-3 plays the scripted cases of the third review: it starts gateways as
// separate processes between stand-ins for the platform, the servers and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	variable  = "TROUBLE"
	noTrouble = "0"
)

// root is the root of the repository, and trouble reports whether the disruption is made.
var (
	root    string
	trouble = os.Getenv(variable) != noTrouble
)

func main() {
	cases := map[string]func(dir string, r *record) (int, error){
		"reentry":    playReentry,
		"holdoff":    playHoldOff,
		"limitlapse": playLimitLapse,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-3 CASE ROOT")
		os.Exit(couldNot)
	}
	root = os.Args[2]
	os.Exit(play(cases[os.Args[1]]))
}

func play(f func(dir string, r *record) (int, error)) int {
	r, err := newRecord()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	code, err := f(dir, r)
	if err != nil {
		r.line("could not run: %v", err)
		code = couldNot
	}
	r.line("exit code %d", code)
	fmt.Println("exit code", code)
	return code
}
