// Package settings reads a process's static settings from an INI file.
//
// The file is read strictly. An unknown key, a mistyped duration or an address that is
// used twice would otherwise only show much later, as a router that accepts no
// connections on one listener or has a wrong timeout. Parsing therefore collects all
// findings, each with its line, and the process does not start if there are any.
//
// One table of keys (keys.go) drives the parsing, the checks, docs/settings.md and the
// check of the example file, so that they cannot diverge.
package settings
