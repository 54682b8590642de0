// Package config holds the dynamic configuration: workspaces, profiles, models
// and targets, as typed values in immutable snapshots.
//
// Operators change it through the admin API. Every accepted change has a
// version, and the whole configuration at a version is a Snapshot. A
// snapshot is never modified: readers load the current one with one atomic
// read and may keep it for the duration of a request. Static settings (addresses,
// limits of the process) are in package settings.
//
// Input from operators is not trusted. A change is decoded strictly and validated
// against the snapshot that it would change. Otherwise an unknown field, a profile
// whose workspace does not exist or a layer range beyond its model would only show as
// requests that no target can serve. All findings are reported together, each with the
// path of its field. A change applies only to the version before its own: Apply returns
// a *VersionGapError for one that arrives late or after a gap, and changes nothing.
package config
