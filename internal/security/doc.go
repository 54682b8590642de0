// Package security checks operators' tokens and workspaces' keys, and provides TLS
// configurations for listeners and clients.
//
// Tokens and keys are stored and compared as digests, in constant time and against all
// entries, so that neither a file nor the response time reveals one. Files are reloaded
// when they change. Changes are detected by file system notifications and also by polling,
// since notifications are lost on some file systems and for files that are replaced through
// a symbolic link. If a changed file is invalid, the error is logged and the previous state
// stays in use. Otherwise a mistake during the renewal of a certificate would lock out
// callers, peers or operators.
package security
