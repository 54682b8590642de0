// Package settings reads a process's static settings from an INI file.
//
// The file is read strictly. A key that nobody reads, a mistyped duration or an
// address that stands twice would otherwise show up much later, as a router that
// is deaf on one listener or waits for the wrong time; so everything that is
// wrong is collected, each finding with its line, and the process does not start.
//
// One table of keys (keys.go) drives the parsing, the checks, docs/settings.md
// and the check of the example file, so that they cannot drift apart.
package settings
