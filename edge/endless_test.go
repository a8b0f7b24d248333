package edge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A backend server that answers a health check, grant or release with a long body must not fill the memory.
func TestLongResponsesToCommandsAreNotKept(t *testing.T) {
	tests := map[string]struct {
		command bool
		failed  bool
	}{
		"a request": {},
		"a command": {command: true, failed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
				_, _ = w.Write(make([]byte, 128<<10))
			}))
			t.Cleanup(server.Close)
			a := attemptAt(strings.TrimPrefix(server.URL, "http://"))
			a.Command = test.command
			r := v.attemptDirectly(t.Context(), a)
			is.Equal(r.Failure != nil, test.failed)
		})
	}
}
