package loadcmd

import (
	"context"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
)

func execute(t *testing.T, args ...string) subcommands.ExitStatus {
	t.Helper()
	c := &command{}
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	c.SetFlags(flags)
	if err := flags.Parse(args); err != nil {
		return subcommands.ExitUsageError
	}
	return c.Execute(context.Background(), flags)
}

// router starts a server that refuses each request as not run, and returns its address. The
// answer contradicts itself if problemOutcome says otherwise.
func router(t *testing.T, problemOutcome string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Geraniumcroft-Outcome", "not-run")
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"outcome":"`+problemOutcome+`","reason":"overloaded"}`)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Scripts tell from the exit code whether all checks passed, the run or a check failed, or the
// command line is wrong.
func TestExitCodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "report.json")
	send := []string{"-profile", "name=a", "-rate", "1000", "-count", "5"}
	cases := []struct {
		name string
		args []string
		want subcommands.ExitStatus
	}{
		{"all checks passed", append(send, "-routers", router(t, "not-run"), "-json", file), subcommands.ExitSuccess},
		{"a check failed", append(send, "-routers", router(t, "unknown")), subcommands.ExitFailure},
		{"the report cannot be written", append(send, "-routers", router(t, "not-run"), "-json", t.TempDir()), subcommands.ExitFailure},
		{"no router", send, subcommands.ExitUsageError},
		{"a remote router", append(send, "-routers", "192.0.2.1:80"), subcommands.ExitUsageError},
		{"a bad profile", []string{"-profile", "share=1"}, subcommands.ExitUsageError},
		{"stray arguments", append(send, "-routers", "127.0.0.1:1", "stray"), subcommands.ExitUsageError},
		{"a comparison", []string{"-compare", file, file}, subcommands.ExitSuccess},
		{"a comparison of one", []string{"-compare", file}, subcommands.ExitUsageError},
		{"a comparison with nothing", []string{"-compare", file, file + ".none"}, subcommands.ExitUsageError},
	}
	for _, c := range cases {
		if got := execute(t, c.args...); got != c.want {
			t.Errorf("%s: exit code %d, want %d", c.name, got, c.want)
		}
	}
}
