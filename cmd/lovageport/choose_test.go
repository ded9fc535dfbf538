package main

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const exampleChoice = `{"gateway":"g1","zone":"a","route":"r","service":"llm","target":[{"upstream":"e","from":0,"to":10}],
"predicted_first_ms":72,"waiting":3,"candidates":[
{"upstream":"e","zone":"a","from":0,"to":10,"cost":3.25,"terms":{"step":4,"prefix":-0.75},"fill":0.5,"cached_tokens":160,"cached_probability":0.8,"cached_age_ms":7000}],
"excluded":[{"upstream":"d","reason":"draining"}],"configuration_age_ms":100,"list_age_ms":200,"peer_report_age_ms":-1}`

// TestChooseAsksGateway checks what the command asks and prints.
func TestChooseAsksGateway(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p := r.URL.Query()
		c.Check(r.URL.Path, qt.Equals, "/choice")
		c.Check(p["part"], qt.DeepEquals, []string{"p:160", "q:20"})
		c.Check(p.Get("route")+" "+p.Get("account")+" "+p.Get("prompt")+" "+p.Get("answer"), qt.Equals, "r x 200 10")
		_, _ = w.Write([]byte(exampleChoice))
	}))
	defer server.Close()
	var out strings.Builder
	command := &chooseCommand{Gateway: server.URL + "/", Route: "r", Account: "x", Prompt: 200, Answer: 10, Part: []string{"p:160", "q:20"}}
	c.Assert(command.choose(&out), qt.IsNil)
	for _, want := range []string{
		"target                         e (0-10)\n", "predicted first event          72ms\n", "age of the oldest peer report  none\n",
		"e (0-10)  a  3.25  fill 0.50  prefix -0.75, step 4.00  caches 160 tokens with probability 0.80, used 7s ago\n",
		"excluded:\nd  draining\n",
	} {
		c.Check(strings.Contains(out.String(), want), qt.IsTrue, qt.Commentf("%q in:\n%s", want, out.String()))
	}
	out.Reset()
	command.JSON = true
	c.Assert(command.choose(&out), qt.IsNil)
	c.Check(out.String(), qt.Equals, exampleChoice)
}

// TestChooseReportsErrors guards against an unclear error, or exit code, for a wrong name.
func TestChooseReportsErrors(t *testing.T) {
	c := qt.New(t)
	status, text := http.StatusNotFound, `route "r": not in the configuration in force`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, text, status) }))
	defer server.Close()
	command := &chooseCommand{Gateway: server.URL, Route: "r"}
	err := command.choose(&strings.Builder{})
	c.Check(err, qt.ErrorMatches, text)
	c.Check(exitCode(err), qt.Equals, exitBadInput)
	status, text = http.StatusServiceUnavailable, "no configuration is known yet"
	err = command.choose(&strings.Builder{})
	c.Check(err, qt.ErrorMatches, text)
	c.Check(exitCode(err), qt.Equals, exitFailure)
	status, text = http.StatusOK, "<html>"
	err = command.choose(&strings.Builder{})
	c.Check(err, qt.ErrorMatches, ".*is none of a gateway.*")
	server.Close()
	var input *badInputError
	c.Check(errors.As(command.choose(&strings.Builder{}), &input), qt.IsFalse)
}
