package responsecheck

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// The errors of malformed heads.
var (
	errStatusLine = &Error{MalformedStatus, "its status line is not one of HTTP/1.0 or HTTP/1.1"}
	errStatus     = &Error{MalformedStatus, "its status is none of 200 to 599"}
	errLineEnd    = &Error{MalformedField, "a line of its head does not end with CRLF"}
	errName       = &Error{MalformedField, "a field has no name that is a token and ends with a colon"}
	errValue      = &Error{MalformedField, "the value of a field has a control byte"}
	errLength     = &Error{MalformedFraming, "its content length is malformed or stated twice"}
	errCoding     = &Error{MalformedFraming, "its transfer coding is not chunked, or stated twice or in HTTP/1.0"}
	errTwoEnds    = &Error{MalformedFraming, "it states a content length and a transfer coding"}
	errNoContent  = &Error{MalformedFraming, "its status allows no body, and it states one"}
)

const (
	// versionBytes is the length of "HTTP/1.1", statusBytes that of a status.
	versionBytes = len("HTTP/1.1")
	statusBytes  = len("200")
	// maxStatus is the largest status.
	maxStatus = 599
)

// head checks the head of one response, and those of the informational ones before it, as their
// bytes arrive.
type head struct {
	// upgrade is whether the request asked for another protocol.
	upgrade bool
	// line is the part of an unfinished line that has arrived.
	line []byte
	// begun is whether a byte has arrived, complete whether all of the head has.
	begun, complete bool
	// status is the status, or zero before the status line.
	status int
	// oldVersion is whether the response is of HTTP/1.0.
	oldVersion bool
	// length is the value of Content-Length, or empty; coded is whether there is a transfer
	// coding.
	length string
	coded  bool
}

// read checks bytes of the response. It ignores those after the head.
func (h *head) read(data []byte) error {
	for !h.complete && len(data) > 0 {
		h.begun = true
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		if !ended || len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		if !ended {
			return nil
		}
		if err := h.readLine(line); err != nil {
			return err
		}
		h.line, data = h.line[:0], rest
	}
	return nil
}

// readLine checks a line without its line feed.
func (h *head) readLine(line []byte) error {
	text, ok := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case !ok:
		return errLineEnd
	case h.status == 0:
		return h.readStatus(string(text))
	case len(text) == 0:
		return h.end()
	}
	return h.readField(string(text))
}

// readStatus checks the status line.
func (h *head) readStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	status, reason, _ := strings.Cut(rest, " ")
	if len(version) != versionBytes || (version != "HTTP/1.1" && version != "HTTP/1.0") || !httpguts.ValidHeaderFieldValue(reason) {
		return errStatusLine
	}
	h.oldVersion = version == "HTTP/1.0"
	if len(status) != statusBytes || !isNumber(status) {
		return errStatus
	}
	for _, digit := range []byte(status) {
		h.status = h.status*10 + int(digit-'0')
	}
	if h.status < http.StatusContinue || h.status > maxStatus || (h.status == http.StatusSwitchingProtocols && !h.upgrade) {
		return errStatus
	}
	return nil
}

// readField checks a field and records what it states about the end of the body.
func (h *head) readField(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return errName
	}
	value = strings.Trim(value, " \t")
	if !httpguts.ValidHeaderFieldValue(value) {
		return errValue
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		if h.length != "" || !isNumber(value) {
			return errLength
		}
		h.length = value
	case strings.EqualFold(name, "Transfer-Encoding"):
		if h.coded || h.oldVersion || !strings.EqualFold(value, "chunked") {
			return errCoding
		}
		h.coded = true
	}
	return nil
}

// end checks the head as a whole at its blank line. The head of a further response follows that of
// an informational one.
func (h *head) end() error {
	informational := h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
	switch {
	case h.length != "" && h.coded:
		return errTwoEnds
	case h.status == http.StatusNoContent && (h.coded || strings.Trim(h.length, "0") != ""):
		return errNoContent
	case informational:
		*h = head{upgrade: h.upgrade, begun: true, line: h.line}
		return nil
	}
	h.complete = true
	return nil
}

// isNumber reports whether a text consists of digits.
func isNumber(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}
