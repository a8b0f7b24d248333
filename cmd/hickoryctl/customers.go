package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/protocol/customers"
	"github.com/hickorylug/hickorylug/state/id"
)

// customersCommand shows the allotments of customers, their use over several entry VMs, and what each VM holds.
type customersCommand struct {
	Name   string        `arg:"" optional:"" help:"Name of a customer, to show its figures at each entry VM."`
	VM     []string      `help:"Addresses of the entry VMs' metrics, separated by commas. The sums are over these VMs." required:"" name:"vm" placeholder:"ADDRESS"`
	During time.Duration `help:"Time over which the present use is measured." default:"2s"`
	JSON   bool          `help:"Print JSON." name:"json"`
}

// vmReading holds the figures of one entry VM.
type vmReading struct {
	Address string
	customers.Metrics
	// Error says why the figures could not be read.
	Error string `json:",omitempty"`
}

// customerUse is the use of one customer at one VM, or at all.
type customerUse struct {
	customers.Counts
	// UsePerS is the number of admitted requests per second during the measurement.
	UsePerS   float64
	SharePerS float64
	Tokens    int
	Waiting   int
}

// customerReport holds the figures of one customer.
type customerReport struct {
	Customer id.Customer
	// RatePerS and Burst are the allotment; 0 means no limit.
	RatePerS, Burst float64
	// Missed is the largest number of its requests that may be counted in the rest.
	Missed uint64 `json:",omitempty"`
	Total  customerUse
	// AtVMs holds the figures by VM.
	AtVMs map[string]customerUse
}

// fleetReport holds the figures of all customers that have a row at one of the VMs.
type fleetReport struct {
	Customers []*customerReport
	// Rest are the requests of all customers without a row, and Unauthenticated those without a valid API key.
	Rest            customers.Counts
	Unauthenticated uint64
	// Errors says by VM why its figures are missing.
	Errors map[string]string `json:",omitempty"`
}

// Run reads the figures of all VMs twice and prints them. The error names the VMs whose figures are missing.
func (c *customersCommand) Run() error {
	before := readVMs(c.VM)
	time.Sleep(c.During)
	report := newFleetReport(before, readVMs(c.VM), c.During)
	if c.Name != "" {
		report.Customers = slices.DeleteFunc(report.Customers, func(r *customerReport) bool { return r.Customer != id.Customer(c.Name) })
	}
	if err := c.print(report); err != nil {
		return err
	}
	if len(report.Errors) > 0 {
		return errors.Newf("%d of %d entry VMs gave no figures: %s", len(report.Errors), len(c.VM), formatErrors(report.Errors))
	}
	if c.Name != "" && len(report.Customers) == 0 {
		return errors.Newf("no entry VM has a row for customer %q: it sent nothing, or is not among the heaviest", c.Name)
	}
	return nil
}

func (c *customersCommand) print(r *fleetReport) error {
	switch {
	case c.JSON:
		return printJSON(r)
	case c.Name != "":
		return r.writeVMs(os.Stdout)
	default:
		return r.write(os.Stdout)
	}
}

// readVMs reads the figures of all VMs at the same time.
func readVMs(addresses []string) []vmReading {
	readings := make([]vmReading, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			m, err := readVM(address)
			readings[i] = vmReading{Address: address, Metrics: m}
			if err != nil {
				readings[i].Error = err.Error()
			}
		})
	}
	wg.Wait()
	return readings
}

// readVM reads the figures of the entry VM whose metrics are at an address.
func readVM(address string) (m customers.Metrics, err error) {
	defer func() { err = errors.Wrapf(err, "metrics at %s", address) }()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return m, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return m, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return m, errors.Newf("status %d", resp.StatusCode)
	}
	var values struct{ Customers customers.Metrics }
	err = json.NewDecoder(resp.Body).Decode(&values)
	return values.Customers, err
}

// newFleetReport adds up the figures of two readings that are some time apart. Counts are those of the second reading.
func newFleetReport(before, after []vmReading, apart time.Duration) *fleetReport {
	r := &fleetReport{Errors: map[string]string{}}
	reports := map[id.Customer]*customerReport{}
	reportOf := func(c id.Customer) *customerReport {
		if reports[c] == nil {
			reports[c] = &customerReport{Customer: c, AtVMs: map[string]customerUse{}}
			r.Customers = append(r.Customers, reports[c])
		}
		return reports[c]
	}
	for i, vm := range after {
		if message := cmp.Or(vm.Error, before[i].Error); message != "" {
			r.Errors[vm.Address] = message
			continue
		}
		earlier := admittedBy(before[i].Rows)
		for _, row := range vm.Rows {
			// A restarted VM, and a customer that got its row meanwhile, count from 0.
			use := customerUse{Counts: row.Counts, UsePerS: max(0, float64(row.Admitted)-float64(earlier[row.Customer])) / max(apart.Seconds(), 1e-3)}
			report := reportOf(row.Customer)
			report.AtVMs[vm.Address] = use
			report.Missed += row.Missed
			report.RatePerS, report.Burst = row.RatePerS, row.Burst
		}
		for _, a := range vm.Allotments {
			report := reportOf(a.Customer)
			use := report.AtVMs[vm.Address]
			use.SharePerS, use.Tokens, use.Waiting = a.SharePerS, a.Tokens, a.Waiting
			report.AtVMs[vm.Address] = use
			report.RatePerS, report.Burst = a.RatePerS, a.Burst
		}
		r.Rest.Add(&vm.Rest)
		r.Unauthenticated += vm.Unauthenticated
	}
	for _, report := range r.Customers {
		for _, use := range report.AtVMs {
			report.Total.add(use)
		}
	}
	slices.SortFunc(r.Customers, func(a, b *customerReport) int {
		return cmp.Or(-cmp.Compare(a.Total.Requests, b.Total.Requests), cmp.Compare(a.Customer, b.Customer))
	})
	return r
}

// admittedBy returns the number of admitted requests by customer.
func admittedBy(rows []customers.Row) map[id.Customer]uint64 {
	out := map[id.Customer]uint64{}
	for _, r := range rows {
		out[r.Customer] = r.Admitted
	}
	return out
}

func (u *customerUse) add(other customerUse) {
	u.Add(&other.Counts)
	u.UsePerS += other.UsePerS
	u.SharePerS += other.SharePerS
	u.Tokens += other.Tokens
	u.Waiting += other.Waiting
}

// write writes one line for each customer.
func (r *fleetReport) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CUSTOMER\tRATE/S\tBURST\tUSE/S\tREQUESTS\tADMITTED\tSERVED\t429\tOTHER REFUSALS\tVMS\tSHARES/S\tTOKENS")
	for _, c := range r.Customers {
		t := &c.Total
		fmt.Fprintf(w, "%s\t%s\t%g\t%.1f\t%d\t%d\t%d\t%d\t%s\t%d\t%.1f\t%d\n", c.Customer, formatRate(c.RatePerS), c.Burst, t.UsePerS,
			t.Requests, t.Admitted, t.Served, t.Limited, formatRefused(t.Counts), len(c.AtVMs), t.SharePerS, t.Tokens)
	}
	fmt.Fprintf(w, "(all others)\t\t\t\t%d\t%d\t%d\t%d\t%s\t\t\t\n", r.Rest.Requests, r.Rest.Admitted, r.Rest.Served, r.Rest.Limited, formatRefused(r.Rest))
	fmt.Fprintf(w, "(401)\t\t\t\t%d\t\t\t\t\t\t\t\n", r.Unauthenticated)
	return w.Flush()
}

// writeVMs writes one line for each VM of each customer.
func (r *fleetReport) writeVMs(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, c := range r.Customers {
		fmt.Fprintf(w, "customer %s: rate %s/s, burst %g, use %.1f/s; up to %d requests more are counted with others\n", c.Customer, formatRate(c.RatePerS), c.Burst, c.Total.UsePerS, c.Missed)
		fmt.Fprintln(w, "VM\tUSE/S\tREQUESTS\tADMITTED\tSERVED\t429\tOTHER REFUSALS\tSHARE/S\tTOKENS\tWAITING")
		for _, vm := range slices.Sorted(maps.Keys(c.AtVMs)) {
			u := c.AtVMs[vm]
			fmt.Fprintf(w, "%s\t%.1f\t%d\t%d\t%d\t%d\t%s\t%.2f\t%d\t%d\n", vm, u.UsePerS, u.Requests, u.Admitted, u.Served, u.Limited, formatRefused(u.Counts), u.SharePerS, u.Tokens, u.Waiting)
		}
	}
	return w.Flush()
}

// formatRate formats the rate of an allotment, where 0 means no limit.
func formatRate(rate float64) string {
	if rate == 0 {
		return "-"
	}
	return fmt.Sprintf("%g", rate)
}

// formatRefused formats the refusals by reason, in alphabetical order.
func formatRefused(c customers.Counts) string {
	var out []string
	for _, reason := range slices.Sorted(maps.Keys(c.Refused)) {
		out = append(out, fmt.Sprintf("%s %d", reason, c.Refused[reason]))
	}
	return strings.Join(out, ", ")
}

func formatErrors(byVM map[string]string) string {
	var out []string
	for _, vm := range slices.Sorted(maps.Keys(byVM)) {
		out = append(out, byVM[vm])
	}
	return strings.Join(out, "; ")
}
