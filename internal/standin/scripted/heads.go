package scripted

import "fmt"

// OddHead is an answer whose head violates HTTP, or may be read in two ways.
type OddHead struct {
	Name string
	// before is sent before the status line.
	before string
	// status is the status line; empty for that of a success.
	status string
	// fields are the lines of the head that follow those of the answer's request, and body
	// follows them; empty for the length of OddBody, and that.
	fields, body string
	// Harmless reports whether the answer may be passed on without the odd line.
	Harmless bool
	// Folded reports whether the odd line continues the one before, which HTTP lets a
	// recipient join or refuse.
	Folded bool
}

// OddBody is the body of the answers of [OddHeads]. The odd lines contain "Odd".
const OddBody = "the whole body"

// lengthLine is the field of the length of OddBody.
var lengthLine = fmt.Sprintf("Content-Length: %d\r\n", len(OddBody))

// chunks is OddBody in chunks, without the end of the trailer.
var chunks = fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(OddBody), OddBody)

// Text returns the answer, with the fields given in its head.
func (h *OddHead) Text(fields string) string {
	status, own, body := h.status, h.fields, h.body
	if status == "" {
		status = "HTTP/1.1 200 OK"
	}
	if own == "" {
		own = lengthLine
	}
	if body == "" {
		body = OddBody
	}
	return h.before + status + "\r\n" + fields + own + "\r\n" + body
}

// OddHeads returns the answers with odd heads. Besides names of their own they have odd
// bytes in the given names of fields.
func OddHeads(names ...string) []OddHead {
	heads := append(oddLines(), oddStatuses()...)
	for _, odd := range []struct{ name, text string }{
		{"a blank", " "}, {"a tab", "\t"}, {"NUL", "\x00"}, {"a control byte", "\x01"}, {"a vertical tab", "\x0b"},
		{"DEL", "\x7f"}, {"a byte above 0x7f", "\x80"}, {"a carriage return", "\r"}, {"a bracket", "("},
	} {
		heads = append(heads, oddNames(odd.name, odd.text, names)...)
	}
	for _, c := range []string{"\x00", "\x01", "\x0b", "\x1b", "\x7f", "\r"} {
		heads = append(heads, OddHead{Name: fmt.Sprintf("%q in a value", c), fields: "Odd: y" + c + "z\r\n" + lengthLine})
	}
	return heads
}

// oddLines returns heads whose lines are no fields, also those of trailers and of
// informational answers.
func oddLines() []OddHead {
	const chunked = "Transfer-Encoding: chunked\r\n"
	return []OddHead{
		{Name: "line begins with a blank", fields: "X: y\r\n Odd: y\r\n" + lengthLine, Folded: true},
		{Name: "line begins with a tab", fields: "X: y\r\n\tOdd: y\r\n" + lengthLine, Folded: true},
		{Name: "length begins with a blank", fields: "X: y\r\n Content-Length: 3\r\n", Folded: true},
		{Name: "length begins with a tab", fields: "X: y\r\n\tContent-Length: 3\r\n", Folded: true},
		{Name: "encoding begins with a blank", fields: "X: y\r\n Transfer-Encoding: chunked\r\n", body: chunks + "\r\n", Folded: true},
		{Name: "first line begins with a blank", status: "HTTP/1.1 200 OK\r\n Odd: y"},
		{Name: "status line begins with a blank", status: " HTTP/1.1 200 OK"},
		{Name: "blank line first", before: "\r\n"},
		{Name: "line without colon", fields: "Odd\r\n" + lengthLine},
		{Name: "empty name", fields: ": Odd\r\n" + lengthLine},
		{Name: "only a blank as name", fields: "X: y\r\n : Odd\r\n" + lengthLine, Folded: true},
		{Name: "blank in the name of a trailer", fields: chunked, body: chunks + "Odd name: y\r\n\r\n", Harmless: true},
		{Name: "control byte in the name of a trailer", fields: chunked, body: chunks + "Odd\x01: y\r\n\r\n"},
		{Name: "trailer begins with a blank", fields: chunked, body: chunks + " Odd: y\r\n\r\n"},
		{Name: "blank in a name of an informational answer", before: "HTTP/1.1 103 Early Hints\r\nOdd name: y\r\n\r\n", Harmless: true},
		{Name: "control byte in a name of an informational answer", before: "HTTP/1.1 103 Early Hints\r\nOdd\x01: y\r\n\r\n"},
		{Name: "informational answer of status 000", before: "HTTP/1.1 000 Odd\r\n\r\n"},
	}
}

// oddStatuses returns heads whose status lines have no status.
func oddStatuses() []OddHead {
	heads := []OddHead{{Name: "no status", status: "HTTP/1.1"}, {Name: "no version", status: "200 OK"}}
	for _, status := range []string{"000", "001", "099", "600", "999", "20", "2000", "+20", "-20", "2x0", "", "OK"} {
		heads = append(heads, OddHead{Name: fmt.Sprintf("status %q", status), status: "HTTP/1.1 " + status + " Odd"})
	}
	return heads
}

// oddNames returns heads with a text in and around the names of fields, including those
// that say where the body ends.
func oddNames(name, text string, names []string) []OddHead {
	heads := []OddHead{
		{Name: name + " in a name", fields: "Odd" + text + "name: y\r\n" + lengthLine},
		{Name: name + " at the start of a name", fields: lengthLine + text + "Odd: y\r\n"},
		{Name: name + " after the length", fields: "Content-Length" + text + ": 3\r\n"},
		{Name: name + " after a second length", fields: lengthLine + "Content-Length" + text + ": 3\r\n"},
		{Name: name + " after the encoding", fields: "Transfer-Encoding" + text + ": chunked\r\n", body: chunks + "\r\n"},
		{Name: name + " after the encoding, with a length", fields: lengthLine + "Transfer-Encoding" + text + ": chunked\r\n", body: chunks + "\r\n"},
	}
	for _, field := range names {
		heads = append(heads, OddHead{Name: name + " after " + field, fields: field + text + ": y\r\n" + lengthLine})
	}
	return heads
}
