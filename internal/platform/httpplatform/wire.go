package httpplatform

import "geraniumcroft/internal/platform"

// The paths of the protocol.
const (
	PathCommit  = "/v1/table/commit"
	PathGet     = "/v1/table/get"
	PathScan    = "/v1/table/scan"
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
)

// CodeNotApplied is the Problem code by which the service declares that a commit
// did not and will not take effect.
const CodeNotApplied = "not-applied"

// GetRequest is the body of PathGet.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of PathScan.
type ScanRequest struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Limit int    `json:"limit"`
}

// RowsResponse answers PathGet and PathScan, and a refused PathCommit with the
// present rows of the conditions that failed.
type RowsResponse struct {
	Rows []platform.Row `json:"rows"`
}

// VMsResponse answers PathVMs.
type VMsResponse struct {
	VMs []platform.VM `json:"vms"`
}

// Problem is the body of a failed request.
type Problem struct {
	Code   string `json:"code"`
	Detail string `json:"detail"`
}
