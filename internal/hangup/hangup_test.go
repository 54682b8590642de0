package hangup

import (
	"os"
	"syscall"
	"testing"
)

// A command that reloads its settings must not be terminated by SIGHUP; any other command must
// be, as is usual when its terminal closes.
func TestOnlyReloadingCommandsCatchSIGHUP(t *testing.T) {
	for _, c := range []struct {
		args []string
		want bool
	}{
		{[]string{"geraniumcroft", "relay", "-settings", "f"}, true},
		{[]string{"geraniumcroft", "explain", "relay"}, false},
		{[]string{"geraniumcroft"}, false},
		{nil, false},
	} {
		if got := reloads(c.args); got != c.want {
			t.Errorf("%v: reloads is %t", c.args, got)
		}
	}
}

func TestHangupIsReceived(t *testing.T) {
	received := catch([]string{"geraniumcroft", "relay"})
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got := <-received; got != syscall.SIGHUP {
		t.Errorf("received %s", got)
	}
}
