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
}

// OddBody is the body of the answers of [OddHeads]. The odd lines contain "Odd".
const OddBody = "the whole body"

// lengthLine is the field of the length of OddBody.
var lengthLine = fmt.Sprintf("Content-Length: %d\r\n", len(OddBody))

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

// OddHeads returns the answers with odd heads.
func OddHeads() []OddHead {
	return oddStatuses()
}

// oddStatuses returns heads whose status lines have no status.
func oddStatuses() []OddHead {
	heads := []OddHead{{Name: "no status", status: "HTTP/1.1"}, {Name: "no version", status: "200 OK"}}
	for _, status := range []string{"000", "001", "099", "600", "999", "20", "2000", "+20", "-20", "2x0", "", "OK"} {
		heads = append(heads, OddHead{Name: fmt.Sprintf("status %q", status), status: "HTTP/1.1 " + status + " Odd"})
	}
	return heads
}
