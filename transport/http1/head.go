package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxHeadBytes limits the head of one response. Backend servers answer with heads of less than 1 KB; common proxies allow 8 to 60 KB.
	maxHeadBytes = 32 << 10
	// maxHeadLines limits the lines of a head, since a parsed field takes many times the memory of a short line.
	maxHeadLines = 256
	// parsedLineBytes is the memory that a parsed field takes besides the copy of its bytes.
	parsedLineBytes = 160
	// freeHeadBytes is the memory up to which a head doesn't count towards the quota.
	freeHeadBytes = 16 << 10
	// maxCauseBytes limits the text of an error that quotes a malformed head.
	maxCauseBytes = 256
)

// Errors of heads that aren't read to their end.
var (
	errHeadTooLarge    = errors.New("the head of the response is too large")
	errTooManyFields   = errors.New("the head of the response has too many fields")
	errMalformedHead   = errors.New("the bytes are no head of a response")
	errNoMemoryForHead = errors.Wrap(ErrQuota, "the head of the response")
)

// source is what a connection reads: bytes that were read ahead, and then the socket.
type source struct {
	socket *Stream
	ahead  []byte
}

// Read reads from the bytes that were read ahead or, if there are none, from the socket.
func (s *source) Read(p []byte) (n int, err error) {
	if len(s.ahead) == 0 {
		s.ahead = nil
		return s.socket.Read(p)
	}
	n = copy(p, s.ahead)
	s.ahead = s.ahead[n:]
	return n, nil
}

// headScanner finds the end of a head in the bytes that have been read so far.
type headScanner struct {
	// scanned is the number of bytes that were looked at, and lineStart the offset of the line after them.
	scanned, lineStart int
	lines              int
}

// isComplete reports whether data, which extends the data of the call before, holds a whole head. An error says that it can't become one.
func (s *headScanner) isComplete(data []byte) (complete bool, err error) {
	if s.lines == 0 && !bytes.HasPrefix(data, protocolName[:min(len(data), len(protocolName))]) {
		return false, errMalformedHead
	}
	for {
		i := bytes.IndexByte(data[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(data)
			return false, nil
		}
		end := s.scanned + i
		line := bytes.TrimSuffix(data[s.lineStart:end], []byte{'\r'})
		s.scanned, s.lineStart = end+1, end+1
		switch {
		case len(line) == 0:
			return true, nil
		case s.lines == 0 && !isStatusLine(string(line)), s.lines > 0 && !isFieldLine(line):
			return false, errMalformedHead
		}
		if s.lines++; s.lines > maxHeadLines {
			return false, errTooManyFields
		}
	}
}

// protocolName begins each status line.
var protocolName = []byte("HTTP/")

// minStatus is the lowest status code (RFC 9110, section 15). net/http takes any three digits for one.
const minStatus = 100

// isStatusLine reports whether a line is a status line that net/http can parse.
func isStatusLine(line string) bool {
	protocol, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	number, err := strconv.Atoi(code)
	_, _, ok := http.ParseHTTPVersion(protocol)
	return ok && len(code) == 3 && err == nil && number >= minStatus
}

// isFieldLine reports whether a line can be a field or the continuation of one. net/http accepts blanks in a name; it doesn't see the length of a
// body in "Content-Length : 4".
func isFieldLine(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte{':'})
	return line[0] == ' ' || line[0] == '\t' || found && httpguts.ValidHeaderFieldName(string(name))
}

// CheckHead returns an error if a status and a header can't be those of a final response.
func CheckHead(status int, h http.Header) error {
	if status < http.StatusOK {
		return errors.Newf("%03d is not the status of a response", status)
	}
	return checkNames(h)
}

// checkNames returns an error if a field has a malformed name.
func checkNames(h map[string][]string) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return shortened(errors.Newf("malformed field name %q", name))
		}
	}
	return nil
}

// parsedBytes returns the memory that the head takes once it is parsed.
func (s *headScanner) parsedBytes() int { return s.scanned + s.lines*parsedLineBytes }

// parseHead reads the head of the next response.
//
// net/http parses a head while it reads it, without a limit, and a parsed head
// of short fields takes about 15 times its bytes. So only a complete head is parsed, and it
// counts towards the quota until the response has been read.
func (c *connection) parseHead(method string) (got *http.Response, err error) {
	defer func() {
		if err != nil {
			err = shortened(err)
		}
	}()
	if err := c.awaitHead(); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// awaitHead reads until the reader holds a whole head.
func (c *connection) awaitHead() error {
	var scanner headScanner
	for size := 1; size <= c.reader.Size(); size = c.reader.Buffered() + 1 {
		if _, err := c.reader.Peek(size); err != nil {
			return err
		}
		data, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return err
		}
		if complete, err := scanner.isComplete(data); complete || err != nil {
			return errors.CombineErrors(err, c.reserve(scanner.parsedBytes()))
		}
	}
	return c.awaitLongHead(&scanner)
}

// awaitLongHead reads the rest of a head that is longer than the reader's buffer. Bytes after it are read again as well.
func (c *connection) awaitLongHead(scanner *headScanner) error {
	head := make([]byte, c.reader.Buffered(), 2*c.reader.Buffered())
	if _, err := c.reader.Read(head); err != nil {
		return err
	}
	for {
		if len(head) == cap(head) {
			grown := min(2*cap(head), maxHeadBytes)
			if len(head) == grown {
				return errHeadTooLarge
			}
			if err := c.reserve(len(head) + grown); err != nil {
				return err
			}
			head = append(make([]byte, 0, grown), head...)
		}
		n, err := c.source.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if complete, scanErr := scanner.isComplete(head); complete || scanErr != nil {
			c.source.ahead = append(head, c.source.ahead...)
			c.reader.Reset(c.source)
			return errors.CombineErrors(scanErr, c.reserve(cap(head)+scanner.parsedBytes()))
		}
		if err != nil {
			return err
		}
	}
}

// reserve raises what the connection has taken from the quota to n bytes, if that is more than a usual head takes.
func (c *connection) reserve(n int) error {
	if n <= freeHeadBytes || n <= c.reserved {
		return nil
	}
	if !c.client.options.Quota.Take(n - c.reserved) {
		return errNoMemoryForHead
	}
	c.reserved = n
	return nil
}

// giveBack gives back what the connection has taken from the quota.
func (c *connection) giveBack() {
	c.client.options.Quota.GiveBack(c.reserved)
	c.reserved = 0
}

// shortened returns an error whose text is bounded; net/http quotes malformed lines.
func shortened(err error) error {
	text := err.Error()
	if len(text) <= maxCauseBytes {
		return err
	}
	return errors.Newf("%s...", text[:maxCauseBytes])
}
