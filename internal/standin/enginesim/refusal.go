package enginesim

// refusal is an answer other than success.
type refusal struct {
	status  int
	Code    string `json:"code"`
	Message string `json:"message"`
}
