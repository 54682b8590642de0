// Package cli is the command line. Each subcommand is one file; exit codes are 0
// for done, 1 for failed, 2 for bad usage or settings and 3 for a change that
// conflicts with another one.
//
// Settings are checked whole before anything is started, and all findings are
// printed. A SIGTERM ends serve by a graceful shutdown, which further signals do not
// shorten: it ends with the last request in hand, which its deadline bounds.
package cli
