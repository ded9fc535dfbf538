// Package jsontext decodes lists in JSON whose entries come from different writers, so
// that an entry that cannot be decoded costs no other.
package jsontext

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"github.com/tidwall/gjson"
)

// IsOddEntry reports whether a text was not decoded by encoding/json because of what an
// entry in it may hold: more levels than encoding/json decodes, or a value of another type. Apart
// from that the text is sound.
func IsOddEntry(err error) bool {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return strings.Contains(err.Error(), "max depth")
	}
	var typeError *json.UnmarshalTypeError
	return errors.As(err, &typeError)
}

// Object is the text of an object, however deeply its values are nested.
type Object struct{ text gjson.Result }

// Parse returns the object that a text consists of. It returns false if the text is
// none, or is cut off.
func Parse(text []byte) (Object, bool) {
	text = bytes.TrimSpace(text)
	return Object{gjson.ParseBytes(text)}, bytes.HasPrefix(text, []byte("{")) && isClosed(text)
}

// isClosed reports whether the last byte of a text, and none before it, closes the bracket
// that the text begins with. It needs no memory for the levels of the text.
func isClosed(text []byte) bool {
	level, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{', c == '[':
			level++
		case c == '}', c == ']':
			level--
			if level == 0 {
				return i == len(text)-1
			}
		}
	}
	return false
}

// Text returns the text of the object.
func (o Object) Text() []byte { return []byte(o.text.Raw) }

// Entries returns the entries of a list in the object.
func (o Object) Entries(field string) []Object {
	var entries []Object
	for _, entry := range o.text.Get(field).Array() {
		entries = append(entries, Object{entry})
	}
	return entries
}

// Object returns an object in the object; the zero value if there is none.
func (o Object) Object(field string) Object { return Object{o.text.Get(field)} }

// String returns a string in the object; "" if there is none.
func (o Object) String(field string) string { return o.text.Get(field).String() }

// Bool returns a truth value in the object; false if there is none.
func (o Object) Bool(field string) bool { return o.text.Get(field).Bool() }

// Int returns an integer in the object, and false if there is none.
func (o Object) Int(field string) (int64, bool) {
	n := o.text.Get(field)
	return n.Int(), n.Type == gjson.Number
}
