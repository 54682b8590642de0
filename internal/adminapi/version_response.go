package adminapi

// VersionResponse names the program's version and the configuration's.
type VersionResponse struct {
	Program       string `json:"program"`
	Configuration uint64 `json:"configuration"`
}
