// Package config holds the dynamic configuration: workspaces, profiles, models
// and targets, as typed values in immutable snapshots.
//
// Operators change it through the admin API. Every accepted change has a
// version, and the whole of the configuration at a version is a Snapshot. A
// snapshot is never modified: readers load the current one with one atomic
// read and may keep it for the length of a request. Static settings (addresses,
// limits of the process) are in package settings.
package config
