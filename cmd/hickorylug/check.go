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

// errInvalid means that at least one file is invalid. Its errors have been printed.
var errInvalid = errors.New("at least one file is invalid")

// checkCommand validates files without starting an entry VM.
type checkCommand struct {
	Files []string `arg:"" help:"Settings or configuration files, in JSON." type:"existingfile"`
}

// Run prints all errors of all files.
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

// check validates a file as a configuration if it has Base or Overlays, and as settings otherwise.
//
// The values are checked only if the file decodes without errors.
func check(data []byte) (problems strict.Problems) {
	var members map[string]json.RawMessage
	if json.Unmarshal(data, &members) == nil && (members["Base"] != nil || members["Overlays"] != nil) {
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
