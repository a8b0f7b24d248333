package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// asProgram is the environment variable that makes the test binary run as the program.
const asProgram = "HICKORYLUG_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// A SIGHUP while the program reads its settings must not end it.
func TestHangupsAtTheStartAreSurvived(t *testing.T) {
	for _, command := range []string{"edge", "serve"} {
		t.Run(command, func(t *testing.T) {
			is := is.New(t)
			settings := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(syscall.Mkfifo(settings, 0o600))
			program := exec.Command(os.Args[0], command, "--settings", settings)
			program.Env = append(os.Environ(), asProgram+"=1")
			is.NoErr(program.Start())
			// This waits until the program has opened the file.
			file, err := os.OpenFile(settings, os.O_WRONLY, 0)
			is.NoErr(err)
			is.NoErr(program.Process.Signal(syscall.SIGHUP))
			_, err = file.WriteString("no settings")
			is.NoErr(err)
			is.NoErr(file.Close())
			_ = program.Wait()
			status, ok := program.ProcessState.Sys().(syscall.WaitStatus)
			is.True(ok)
			is.True(!status.Signaled())
			is.Equal(status.ExitStatus(), 1)
		})
	}
}

// A reader of the program's output that has gone must not end the program.
func TestClosedOutputIsSurvived(t *testing.T) {
	for _, command := range []string{"edge", "serve"} {
		t.Run(command, func(t *testing.T) {
			is := is.New(t)
			settings := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(settings, []byte("no settings"), 0o600))
			reader, output, err := os.Pipe()
			is.NoErr(err)
			is.NoErr(reader.Close())
			program := exec.Command(os.Args[0], command, "--settings", settings)
			program.Env, program.Stdout, program.Stderr = append(os.Environ(), asProgram+"=1"), output, output
			is.NoErr(program.Start())
			is.NoErr(output.Close())
			_ = program.Wait()
			status, ok := program.ProcessState.Sys().(syscall.WaitStatus)
			is.True(ok)
			is.True(!status.Signaled())
			is.Equal(status.ExitStatus(), 1)
		})
	}
}
