// Package mirror lets VMs read each other's copies of the platform's tables.
//
// It serves VMs that leave the feed to others, and those that the store does not answer:
// the store may be down, or turn this VM away while it serves the others. Two peers are asked
// for the revisions of their copies; what the newer one has beyond this VM's is fetched,
// packed, from the nearer that has it. Whoever asks keeps the newer copy. The messages are
// the well-known wrapper types around JSON, so nothing has to be generated.
//
// What fails. A peer that does not answer is passed over for a while, unless all were
// silent. One that the store turns away has an older copy, which the other's revision
// shows. A large copy may take longer than a question for a revision, so each has a time
// limit of its own.
package mirror
