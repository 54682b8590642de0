package httpplatform

// ScanRequest is the request body of PathScan.
type ScanRequest struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Limit int    `json:"limit"`
}
