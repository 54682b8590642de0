// Package version identifies this build.
package version

import "runtime/debug"

// Release is the release of this source.
const Release = "0.1.0"

// String returns the release and, if the build information contains it, the first 12
// characters of the revision.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return Release + "+" + setting.Value[:min(12, len(setting.Value))]
		}
	}
	return Release
}
