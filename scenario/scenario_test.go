package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/knapweedweir/knapweedweir/standin/cell"
)

// bin is the folder with the built programs.
var bin string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "kw-scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	if err := cell.Build("..", bin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// TestScenarios runs every script in testdata/script against its own cell.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 filepath.Join("testdata", "script"),
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			h := &harness{}
			env.Values[harnessKey{}] = h
			env.Defer(h.close)
			return nil
		},
		Cmds: commands,
	})
}

func kwctl(entry string, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(bin, "kwctl"), args...)
	cmd.Env = append(os.Environ(), "KW_ENTRY="+entry)
	out, err := cmd.CombinedOutput()
	return string(out), err
}
