package broken

import "strconv"

// Heads returns responses with malformed heads, by what is wrong with them. Each has the given lines of fields, and the body where it has one. Some
// are followed by a sound response with the same fields and body.
func Heads(fields, body string) map[string]string {
	length := strconv.Itoa(len(body))
	framed := fields + "Content-Length: " + length + "\r\n\r\n" + body
	chunked := strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	const ok, trouble, early = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 099 Early\r\n"
	return map[string]string{
		"status 000":                              trouble + framed,
		"status 000 without a body":               trouble + fields + "\r\n",
		"status 000, then a sound response":       trouble + fields + "\r\n" + ok + framed,
		"status 000, empty, then a sound one":     trouble + fields + "Content-Length: 0\r\n\r\n" + ok + framed,
		"status 099":                              early + framed,
		"status 099, then a sound response":       early + fields + "\r\n" + ok + framed,
		"blank in a name":                         ok + "X Name: a\r\n" + framed,
		"blank in a name, no body":                ok + "X Name: a\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"blank in the name of the length":         ok + fields + "Content-Length : " + length + "\r\n\r\n" + body + "\n",
		"blank in the name of the encoding":       ok + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunked,
		"control byte in a name":                  ok + "X-\x01: a\r\n" + framed,
		"tab in a name":                           ok + "X\tName: a\r\n" + framed,
		"control byte in a value":                 ok + "X-Name: \x01\r\n" + framed,
		"blank in a name of an informational one": "HTTP/1.1 103 Early Hints\r\nX Name: a\r\n\r\n" + ok + framed,
	}
}
