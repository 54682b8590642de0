package adminapi

// VersionResponse holds the versions of the program and of the configuration.
type VersionResponse struct {
	Program       string `json:"program"`
	Configuration uint64 `json:"configuration"`
}
