package route

import (
	"net/url"
	"strings"
)

// keepSlashes escapes encoded slashes once more.
var keepSlashes = strings.NewReplacer("%2F", "%252F", "%2f", "%252F")

// Path returns the path of a URL by which routes are matched: decoded, except that an encoded slash stays "%2F". It separates no segments, unlike
// the slash itself (RFC 3986, section 2.2).
//
// Segments that are empty, "." or ".." stay as they were sent, encoded or not: the
// backend server gets them unchanged, so they must not choose another route than
// their prefix does.
func Path(u *url.URL) string {
	if u.RawPath == "" {
		return u.Path
	}
	path, err := url.PathUnescape(keepSlashes.Replace(u.RawPath))
	if err != nil {
		return u.Path
	}
	return path
}
