package admincmd

import (
	"flag"
	"time"
)

// defaultWait covers the time within which a change has to be in force everywhere.
const defaultWait = 16 * time.Second

// flags holds the values of the commands' flags.
type flags struct {
	admin     string
	tokenFile string
	caFile    string
	json      bool
	file      string
	revision  uint64
	wait      time.Duration
	after     uint64
	limit     int
}

// registerSession registers the flags that a session needs.
func (f *flags) registerSession(set *flag.FlagSet, defaultAdmin string) {
	set.StringVar(&f.admin, "admin", defaultAdmin, "`URL` of a VM's admin listener, http://IP:port or https://IP:port")
	set.StringVar(&f.tokenFile, "token-file", "", "`FILE` that holds the operator's token")
	set.StringVar(&f.caFile, "ca-file", "", "`FILE` with the certificates to trust for https")
}

// register registers all flags. The help text of those that only some verbs use names the verbs.
func (f *flags) register(set *flag.FlagSet) {
	f.registerSession(set, "")
	set.BoolVar(&f.json, "json", false, "print JSON as the API answers it")
	set.StringVar(&f.file, "f", "", "`FILE` with the entity as JSON, - for standard input (set)")
	set.Uint64Var(&f.revision, "revision", 0, "the revision that is changed; 0 takes the file's, or creates (set, delete)")
	set.DurationVar(&f.wait, "wait", defaultWait, "how long to wait for a change to be in force everywhere")
	set.Uint64Var(&f.after, "after", 0, "list changes after this version (change list)")
	set.IntVar(&f.limit, "limit", 100, "list at most so many changes (change list)")
}
