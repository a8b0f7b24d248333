package config_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
)

const valid = `{
  "Base": {
    "FailureDomains": {"east": {}, "west": {}},
    "Services": {
      "plans": {"Keyed": true, "Servers": {"p1": {"Address": "10.0.0.1:80", "FailureDomain": "east"}}},
      "renewals": {"Servers": {"r1": {"Address": "10.0.0.2:80", "FailureDomain": "west"}}}
    },
    "Routes": {
      "view": {"Service": "plans", "Methods": ["GET"], "Path": "/plans/{who}", "Key": {"PathPart": "who"}, "Idempotent": true, "Retries": 1, "Timeout": "2s"},
      "renew": {"Service": "renewals", "Methods": ["POST"], "Path": "/renewals"}
    }
  },
  "Overlays": {"noor": {"Routes": {"view": {"Timeout": "3s"}}, "FailureDomains": {"west": {"Out": false}}}}
}`

func TestOverlayChangesOnlyWhatItNames(t *testing.T) {
	i := is.New(t)
	doc, problems := config.Decode([]byte(valid))
	i.NoErr(problems.Err())
	site, problems := doc.Site("noor")
	i.NoErr(problems.Err())
	i.Equal(site.Routes["view"].Timeout.String(), "3s")
	i.Equal(site.Routes["view"].Retries, 1)
	i.Equal(site.Services["plans"].Servers["p1"].Group, id.Group("plans.east"))
	i.Equal(site.Services["plans"].Slots, config.DefaultSlots)
}

func TestCheckNamesTheField(t *testing.T) {
	tests := map[string]struct{ from, to, wanted string }{
		"unknown field":          {`"Keyed": true`, `"Keyd": true`, "Services.plans.Keyd: unknown field"},
		"wrong type":             {`"Retries": 1`, `"Retries": "one"`, `Routes.view.Retries: expected int, got string "one"`},
		"bad duration":           {`"Timeout": "3s"`, `"Timeout": "2 parsecs"`, "Routes.view.Timeout: "},
		"negative duration":      {`"Timeout": "3s"`, `"Timeout": "-2s"`, "is negative"},
		"unknown service":        {`"Service": "renewals"`, `"Service": "renewal"`, `Routes.renew.Service: no service "renewal"; known are plans, renewals`},
		"unknown domain":         {`"FailureDomain": "west"`, `"FailureDomain": "north"`, "Services.renewals.Servers.r1.FailureDomain: no failure domain"},
		"host name as address":   {`10.0.0.1:80`, `host:80`, "Services.plans.Servers.p1.Address: "},
		"address used twice":     {`10.0.0.2:80`, `10.0.0.1:80`, "is the address of"},
		"key missing":            {`"Key": {"PathPart": "who"}, `, ``, "Routes.view.Key: "},
		"key not in the path":    {`"PathPart": "who"`, `"PathPart": "whom"`, "Routes.view.Key.PathPart: "},
		"two key sources":        {`"PathPart": "who"`, `"PathPart": "who", "Header": "Who"`, "exactly one"},
		"retries not idempotent": {`"Idempotent": true, `, ``, "Routes.view.Retries: "},
		"shadowed route":         {`"Methods": ["POST"], "Path": "/renewals"`, `"Methods": ["GET"], "Path": "/plans/{x}"`, "matches the same requests"},
		"duplicate field":        {`"Methods": ["POST"]`, `"Methods": ["POST"], "Methods": ["PUT"]`, "Routes.renew.Methods: the field is given twice"},
		"slots over connections": {`"Keyed": true`, `"Keyed": true, "Slots": 9, "Connections": 4`, "Services.plans.Connections: "},
		"too many slices":        {`"Keyed": true`, `"Keyed": true, "Slices": 1000000`, "Services.plans.Slices: "},
		"not JSON":               {`"Base": {`, `"Base": [`, "(document): line"},
		"overlay with a typo":    {`"Out": false`, `"Oust": true`, "site noor: FailureDomains.west.Oust: unknown field"},
		"all servers out":        {`"Out": false`, `"Out": true`, "site noor: Services.renewals.Servers: every backend server is taken out"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			text := strings.Replace(valid, test.from, test.to, 1)
			i.True(text != valid)
			doc, problems := config.Decode([]byte(text))
			if len(problems) == 0 {
				problems = doc.Check()
			}
			if !strings.Contains(problems.String(), test.wanted) {
				t.Fatalf("wanted %q in:\n%s", test.wanted, problems)
			}
		})
	}
}

func TestCheckReportsEverythingAtOnce(t *testing.T) {
	i := is.New(t)
	text := strings.NewReplacer(`"Keyed": true`, `"Keyd": true`, `10.0.0.2:80`, `nowhere`, `"Retries": 1`, `"Retries": 99`).Replace(valid)
	doc, problems := config.Decode([]byte(text))
	i.NoErr(problems.Err())
	text = doc.Check().String()
	for _, wanted := range []string{"Keyd", "nowhere", "99 is not between"} {
		i.True(strings.Contains(text, wanted))
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"noor.json", "ardlarach.json"} {
		i := is.New(t)
		data, err := os.ReadFile("../../examples/" + name)
		i.NoErr(err)
		doc, problems := config.Decode(data)
		i.NoErr(problems.Err())
		i.NoErr(doc.Check().Err())
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"Base":{"Routes":{"a":{"Path":"/{x...}"}}},"Overlays":{"s":null}}`))
	f.Add([]byte(`{"Base":null}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if doc, problems := config.Decode(data); len(problems) == 0 {
			doc.Check()
		}
	})
}
