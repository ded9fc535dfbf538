package openai

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDecodeRequestReadsContentForms(t *testing.T) {
	r, err := DecodeRequest([]byte(`{"model":"m","temperature":0.5,"messages":[
		{"role":"system","content":"be kind"},
		{"role":"user","content":[{"type":"text","text":"a "},{"type":"text","text":"card"}]}]}`), true)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.PromptText(), qt.Equals, "system: be kind\nuser: a card\n")
	qt.Check(t, r.OutputTokens(), qt.Equals, DefaultMaxTokens)

	_, err = DecodeRequest([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`), true)
	qt.Check(t, err, qt.ErrorMatches, `.*"image_url" is not served.*`)
}

func TestDepthIgnoresBracketsInStrings(t *testing.T) {
	body := `{"model":"m","prompt":"` + strings.Repeat(`[\"`, 200) + `"}`
	_, err := DecodeRequest([]byte(body), false)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, depth([]byte(`{"a":[{"b":[]}]}`)), qt.Equals, 4)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"a","max_tokens":3}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`), true)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		r, err := DecodeRequest(body, chat)
		if err != nil {
			return
		}
		if r.Model == "" || r.OutputTokens() < 1 {
			t.Fatalf("invalid request accepted: %+v", r)
		}
		_ = r.PromptText()
	})
}
