package adminapi

// VersionAnswer names the program's version and the configuration's.
type VersionAnswer struct {
	Program       string `json:"program"`
	Configuration uint64 `json:"configuration"`
}
