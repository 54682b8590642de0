// Package mirror lets VMs read each other's copies of the platform's tables.
//
// It is asked only by a VM that the store does not answer: the store may be down, or
// turn this VM away while it serves the others. A copy travels whole with its
// revision, and whoever asks keeps the newer one. The messages are the well-known
// wrapper types around JSON, so nothing has to be generated.
package mirror
