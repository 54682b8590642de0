package adminapi

// Code identifies a kind of problem. Codes are stable, so that scripts can match
// them.
type Code string

// Kinds of problems.
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
