package responsehead

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// A token consists of letters, digits and nameMarks (RFC 9110, section 5.6.2).
const (
	letters   = "abcdefghijklmnopqrstuvwxyz"
	digits    = "0123456789"
	nameMarks = "!#$%&'*+-.^_`|~"
)

// maxQuotedBytes bounds what an error quotes of a name.
const maxQuotedBytes = 64

// CheckNames returns an error unless the name of each field is a token. net/http also accepts
// names with blanks, so that the field with a length may go unnoticed.
func CheckNames(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return nameError(name)
		}
	}
	return nil
}

func nameError(name string) error {
	return fmt.Errorf("%w: got the field name %q, want a token", ErrMalformed, name[:min(len(name), maxQuotedBytes)])
}

func isToken[Text string | []byte](name Text) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return len(name) > 0
}

// tokenBytes has the bytes that a token may consist of.
var tokenBytes = newTokenBytes()

func newTokenBytes() (bytes [256]bool) {
	for _, allowed := range []string{letters, strings.ToUpper(letters), digits, nameMarks} {
		for i := range len(allowed) {
			bytes[allowed[i]] = true
		}
	}
	return bytes
}

// Lines checks the lines of a head as they arrive. The zero value is ready for one head.
type Lines struct {
	// checked is the number of bytes in the lines that were checked.
	checked int
}

// Check checks the further lines of the head, of which bytes from the beginning have arrived so
// far. It returns true if the head is complete, or has no status line: net/http finds that out.
// A line that begins with a blank is rejected too, since it is either the end of the line
// before, a form that is obsolete, or a field whose name begins with a blank.
func (lines *Lines) Check(head []byte) (complete bool, err error) {
	for {
		line, _, found := bytes.Cut(head[lines.checked:], []byte("\n"))
		if !found {
			return false, nil
		}
		isFirst := lines.checked == 0
		lines.checked += len(line) + 1
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case isFirst && !isStatusLine(string(line)), !isFirst && len(line) == 0:
			return true, nil
		case isFirst:
			continue
		}
		if err := checkLine(line); err != nil {
			return false, err
		}
	}
}

// isStatusLine reports whether the line begins with a version of HTTP and three digits.
func isStatusLine(line string) bool {
	version, rest, _ := strings.Cut(line, " ")
	if _, _, ok := http.ParseHTTPVersion(version); !ok {
		return false
	}
	status, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	return len(status) == len("200")
}

// checkLine checks the line of a field.
func checkLine(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found {
		return fmt.Errorf("%w: got the line %q, want a field", ErrMalformed, line[:min(len(line), maxQuotedBytes)])
	}
	if !isToken(name) {
		return nameError(string(name))
	}
	return nil
}
