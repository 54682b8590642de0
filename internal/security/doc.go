// Package security checks operators' tokens and workspaces' keys, and gives the
// listeners their TLS.
//
// Tokens and keys are kept and compared as digests, in constant time and against
// all entries, so that neither a file nor the time of an answer tells one. Files
// are read again when they change: by the system's notice, and by polling, since
// notices are lost on some file systems and on a file that is replaced through a
// link. A changed file that is not in order is logged and the state before it
// stays in force; otherwise a slip while a certificate is renewed would shut out
// callers, peers or operators.
package security
