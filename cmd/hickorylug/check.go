package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/strict"
)

// errInvalid means that a file has mistakes, which have been printed.
var errInvalid = errors.New("there are mistakes")

// checkCommand checks files without running anything.
type checkCommand struct {
	Files []string `arg:"" help:"Files with settings or with a configuration." type:"existingfile"`
}

// Run prints every mistake of every file.
func (c *checkCommand) Run() error {
	invalid := false
	for _, file := range c.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		problems := check(data)
		for _, p := range problems {
			fmt.Printf("%s: %s: %s\n", file, p.Path, p.Message)
		}
		if len(problems) == 0 {
			fmt.Printf("%s: valid\n", file)
		}
		invalid = invalid || len(problems) > 0
	}
	if invalid {
		return errInvalid
	}
	return nil
}

// check tells a configuration from settings by its Base.
func check(data []byte) (problems strict.Problems) {
	var probe map[string]json.RawMessage
	if json.Unmarshal(data, &probe) == nil && (probe["Base"] != nil || probe["Overlays"] != nil) {
		doc, problems := config.Decode(data)
		if len(problems) > 0 {
			return problems
		}
		return doc.Check()
	}
	s, problems := settings.Decode(data)
	if len(problems) > 0 {
		return problems
	}
	return s.Check()
}
