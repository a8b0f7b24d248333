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

// callTimeout bounds one call of an entry VM.
const callTimeout = 5 * time.Second

// target names the entry VM that is asked.
type target struct {
	Operator string `help:"Operators' address of an entry VM." required:"" env:"HICKORYLUG_OPERATOR"`
	JSON     bool   `help:"Print JSON." name:"json"`
}

// ask gets a view of the entry VM.
func (t target) ask(path string, query url.Values, view any) (err error) {
	defer func() { err = errors.Wrapf(err, "ask the entry VM at %s", t.Operator) }()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Operator+path+"?"+query.Encode(), nil)
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
	return json.Unmarshal(body, view)
}

func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// statusCommand shows an entry VM.
type statusCommand struct {
	target
	Watch time.Duration `help:"Show it again after this time, until interrupted."`
}

// Run prints the status, once or again and again.
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
	if err := c.ask("/status", nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	fmt.Printf("VM %s at site %s, failure domain %s: ready %v, leaving %v, configuration %d (%s)\n",
		s.VM, s.Site, s.FailureDomain, s.Ready, s.Leaving, s.Revision, s.Change)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "GROUP\tFAILURE DOMAIN\tHOLDER\tTERM\tWITNESSES\tSERVERS")
	for _, g := range s.Groups {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%v\t%s\n", g.Group, g.FailureDomain, g.Holder, g.Term, g.Witnesses, servers(g))
	}
	fmt.Fprintln(t, "SERVICE\tTABLE\tSLICES\tMOVING\tVACANT\tOWNERS")
	for _, v := range s.Tables {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%v\n", v.Service, v.Version, v.Slices, v.Moving, v.Vacant, v.Owned)
	}
	return t.Flush()
}

func servers(g operator.GroupStatus) string {
	var out []string
	for _, s := range g.Servers {
		text := fmt.Sprintf("%s %d/%d", s.Server, s.Limit, s.Slots)
		if s.Lost {
			text += " lost"
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ")
}

// explainCommand shows where a request would go.
type explainCommand struct {
	Method string   `arg:"" help:"HTTP method."`
	URL    string   `arg:"" help:"Path with query, or a URL."`
	Header []string `help:"Header field of the request, as NAME:VALUE."`
	target
}

// Run prints the explanation.
func (c *explainCommand) Run() error {
	var e operator.Explanation
	query := url.Values{"Method": {c.Method}, "URL": {c.URL}, "Header": c.Header}
	if err := c.ask("/explain", query, &e); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e)
	}
	fmt.Printf("route %s, service %s, group %s, holder %s, server %s\n", e.Route, e.Service, e.Group, e.Holder, e.Server)
	for _, why := range e.Why {
		fmt.Println("  " + why)
	}
	return nil
}
