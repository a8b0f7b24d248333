package backend_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/transport/backend"
)

// A faulty backend server may send a head of any length; a long one must end the call.
func TestEndlessHeads(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range 20000 {
			w.Header().Set("A"+strconv.Itoa(i), "")
		}
	}))
	defer server.Close()
	_, err := backend.NewTransport().Probe(t.Context(), config.Server{Address: strings.TrimPrefix(server.URL, "http://")}, "/health")
	is.True(err != nil)
}
