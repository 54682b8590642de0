// Package cli implements the command line. Each subcommand has a file or a package of its
// own. Exit codes are 0 for done, 1 for failed, 2 for bad usage or settings and 3 for a change
// that conflicts with another one.
//
// All settings are checked before anything is started, and all findings are printed. A SIGTERM
// ends serve with a graceful shutdown. Further signals do not shorten it: it ends with the last
// request in flight, whose duration is bounded by its deadline.
package cli
