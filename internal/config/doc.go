// Package config holds the dynamic configuration: workspaces, profiles, models
// and targets, as typed values in immutable snapshots.
//
// Operators change it through the admin API. Every accepted change has a
// version, and the whole of the configuration at a version is a Snapshot. A
// snapshot is never modified: readers load the current one with one atomic
// read and may keep it for the length of a request. Static settings (addresses,
// limits of the process) are in package settings.
//
// What operators send is not trusted. A change is decoded strictly and validated
// against the snapshot that it would change: an unknown field, a profile of a
// workspace that is not there or a layer range beyond its model would otherwise
// show up as requests that no target can take. All findings are reported together,
// each with its place. A change is applied only on the version before it, so one
// that comes late or after a gap is a *VersionGapError and changes nothing.
package config
