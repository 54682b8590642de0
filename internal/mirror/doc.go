// Package mirror lets VMs read each other's copies of the platform's tables.
//
// It serves VMs that leave the feed to others, and those that the store does not answer:
// the store may be down, or
// turn this VM away while it serves the others. What a copy has beyond the asker's
// revision travels, and whoever asks keeps the newer copy. The messages are the well-known
// wrapper types around JSON, so nothing has to be generated.
package mirror
