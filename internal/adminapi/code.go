package adminapi

// Code names a kind of problem; scripts may rely on it.
type Code string

// The kinds of problems.
const (
	CodeUnauthorized         Code = "unauthorized"
	CodeForbidden            Code = "forbidden"
	CodeNotFound             Code = "not-found"
	CodeBadRequest           Code = "bad-request"
	CodeTooLarge             Code = "too-large"
	CodeInvalid              Code = "invalid"
	CodePreconditionRequired Code = "precondition-required"
	CodeConflict             Code = "conflict"
	CodeIDReused             Code = "id-reused"
	CodeUnavailable          Code = "store-unavailable"
	CodeUnknownChange        Code = "unknown-change"
	CodeNotWritten           Code = "not-written"
	CodeReloading            Code = "reloading"
	CodeInternal             Code = "internal"
)
