// Package version names this build.
package version

import "runtime/debug"

// Release is the release that this source is part of.
const Release = "0.1.0"

// String returns the release and, where the build knows it, the revision.
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
