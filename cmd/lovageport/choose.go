package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"lovageport.example/internal/gateway"
)

// maxChoiceBytes bounds the answer of a gateway: about 500 bytes for each upstream.
const maxChoiceBytes = 4 << 20

// chooseCommand asks a gateway where a request would go now.
type chooseCommand struct {
	Gateway string   `default:"http://127.0.0.1:9464" help:"URL of the gateway's metrics listener."`
	Route   string   `arg:"" help:"Name of the route."`
	Account string   `help:"Name of the client account."`
	Service string   `help:"Service, if the route has several; by default that of a request without ID."`
	Prompt  int      `help:"Length of the prompt in tokens."`
	Answer  int      `help:"Expected length of the answer in tokens."`
	Part    []string `help:"Leading parts of the prompt that other requests may share, as ID:TOKENS, in order."`
	JSON    bool     `name:"json" help:"Print JSON."`
}

// Run prints the choice.
func (c *chooseCommand) Run() error { return c.choose(os.Stdout) }

func (c *chooseCommand) choose(out io.Writer) error {
	text, err := c.ask()
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := out.Write(text)
		return err
	}
	var answer gateway.Choice
	if err := json.Unmarshal(text, &answer); err != nil {
		return fmt.Errorf("the answer of %s is none of a gateway: %w", c.Gateway, err)
	}
	return printChoice(out, &answer)
}

// ask returns the answer of the gateway.
func (c *chooseCommand) ask() ([]byte, error) {
	p := url.Values{
		"route": {c.Route}, "account": {c.Account}, "service": {c.Service},
		"prompt": {strconv.Itoa(c.Prompt)}, "answer": {strconv.Itoa(c.Answer)}, "part": c.Part,
	}
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Get(strings.TrimSuffix(c.Gateway, "/") + gateway.ChoicePath + "?" + p.Encode())
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxChoiceBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		err := errors.New(strings.TrimSpace(string(text)))
		if response.StatusCode < http.StatusInternalServerError {
			return nil, &badInputError{err}
		}
		return nil, err
	}
	return text, nil
}

// printChoice prints a choice for people.
func printChoice(out io.Writer, c *gateway.Choice) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "gateway\t%s, zone %s\n", c.Gateway, c.Zone)
	fmt.Fprintf(w, "service\t%s\n", c.Service)
	var stages []string
	for _, s := range c.Target {
		stages = append(stages, s.Upstream+layerText(s.From, s.To))
	}
	if c.Refusal != "" {
		stages = []string{"none: " + c.Refusal}
	}
	fmt.Fprintf(w, "target\t%s\n", strings.Join(stages, ", "))
	if c.PredictedFirst > 0 {
		fmt.Fprintf(w, "predicted first event\t%v\n", roundMS(c.PredictedFirst))
	}
	fmt.Fprintf(w, "waiting requests\t%d\n", c.Waiting)
	fmt.Fprintf(w, "age of the configuration\t%v\n", roundMS(c.ConfigurationAge))
	fmt.Fprintf(w, "age of the list of upstreams\t%v\n", roundMS(c.ListAge))
	peers := "none"
	if c.PeerReportAge >= 0 {
		peers = roundMS(c.PeerReportAge).String()
	}
	fmt.Fprintf(w, "age of the oldest peer report\t%s\n", peers)
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "\ncandidates, the cheapest first; costs without the random part:\n")
	for _, x := range c.Candidates {
		fmt.Fprintf(w, "%s%s\t%s\t%.2f\tfill %.2f\t%s\t%s\n",
			x.Upstream, layerText(x.From, x.To), x.Zone, x.Cost, x.Fill, termText(x.Terms), cachedText(&x))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(c.Excluded) > 0 {
		fmt.Fprintf(out, "\nexcluded:\n")
	}
	for _, x := range c.Excluded {
		fmt.Fprintf(w, "%s\t%s\n", x.Upstream, x.Reason)
	}
	return w.Flush()
}

func layerText(from, to int) string {
	if to <= from {
		return ""
	}
	return fmt.Sprintf(" (%d-%d)", from, to)
}

// termText returns the terms of a cost, ordered by name.
func termText(terms map[string]float64) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(terms)) {
		out = append(out, fmt.Sprintf("%s %.2f", name, terms[name]))
	}
	return strings.Join(out, ", ")
}

func cachedText(c *gateway.CandidateCost) string {
	if c.CachedTokens == 0 {
		return ""
	}
	return fmt.Sprintf("caches %d tokens with probability %.2f, used %v ago", c.CachedTokens, c.CachedProbability, roundMS(c.CachedAge))
}

func roundMS(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond)).Round(time.Millisecond)
}
