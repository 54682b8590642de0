// Package cli is the command line. Each subcommand is one file; exit codes are 0
// for done, 1 for failed and 2 for bad usage or settings.
package cli
