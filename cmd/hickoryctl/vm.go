package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/protocol/problem"
	"github.com/hickorylug/hickorylug/transport/operator"
)

// requestTimeout bounds one request to an entry VM.
const requestTimeout = 5 * time.Second

// operatorFlags are the flags of every command that queries an entry VM.
type operatorFlags struct {
	Operator string `help:"Address of an entry VM's operator endpoint." required:"" env:"HICKORYLUG_OPERATOR"`
	JSON     bool   `help:"Print JSON." name:"json"`
}

// get queries the operator endpoint of the entry VM and decodes the JSON response into result.
func (f operatorFlags) get(path string, query url.Values, result any) (err error) {
	defer func() { err = errors.Wrapf(err, "query entry VM at %s", f.Operator) }()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Operator+path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		var details problem.Details
		if json.Unmarshal(body, &details) == nil && details.Detail != "" {
			return errors.Newf("%s: %s", details.Reason, details.Detail)
		}
		return errors.Newf("status %d: %s", resp.StatusCode, body)
	}
	return json.Unmarshal(body, result)
}

func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// statusCommand shows the status of an entry VM.
type statusCommand struct {
	operatorFlags
	Watch time.Duration `help:"Repeat at this interval until interrupted."`
}

// Run prints the status once, or with --watch repeatedly.
func (c *statusCommand) Run() error {
	for {
		if err := c.show(); err != nil || c.Watch == 0 {
			return err
		}
		time.Sleep(c.Watch)
	}
}

func (c *statusCommand) show() error {
	var s operator.Status
	if err := c.get("/status", nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	fmt.Printf("VM %s at site %s, failure domain %s: ready %v, leaving %v, configuration %d (%s)\n",
		s.VM, s.Site, s.FailureDomain, s.Ready, s.Leaving, s.Revision, s.Change)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GROUP\tFAILURE DOMAIN\tHOLDER\tTERM\tWITNESSES\tSERVERS")
	for _, g := range s.Groups {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%s\n", g.Group, g.FailureDomain, g.Holder, g.Term, g.Witnesses, formatServers(g))
	}
	fmt.Fprintln(w, "SERVICE\tTABLE\tSLICES\tMOVING\tVACANT\tOWNERS")
	for _, table := range s.Tables {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%v\n", table.Service, table.Version, table.Slices, table.Moving, table.Vacant, table.Owned)
	}
	return w.Flush()
}

// formatServers returns each backend server of a group with its limit and slots.
func formatServers(g operator.GroupStatus) string {
	var formatted []string
	for _, s := range g.Servers {
		server := fmt.Sprintf("%s %d/%d", s.Server, s.Limit, s.Slots)
		if s.Lost {
			server += " lost"
		}
		formatted = append(formatted, server)
	}
	return strings.Join(formatted, ", ")
}

// explainCommand explains how a request would be routed.
type explainCommand struct {
	Method string   `arg:"" help:"HTTP method."`
	URL    string   `arg:"" help:"Path with an optional query, or a URL."`
	Header []string `help:"Header field of the request, as NAME:VALUE."`
	operatorFlags
}

// Run prints the explanation.
func (c *explainCommand) Run() error {
	var e operator.Explanation
	query := url.Values{"Method": {c.Method}, "URL": {c.URL}, "Header": c.Header}
	if err := c.get("/explain", query, &e); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e)
	}
	fmt.Printf("route %s, service %s, group %s, holder %s, server %s\n", e.Route, e.Service, e.Group, e.Holder, e.Server)
	for _, reason := range e.Why {
		fmt.Println("  " + reason)
	}
	return nil
}
