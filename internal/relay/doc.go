// Package relay serves requests that are bytes to be passed on unchanged, with the
// replica's own answer and proof, where package router serves prompts whose tokens it
// puts together itself. Both use the same gate, admission, choice of targets, dispatch
// boundary, retry budget, connections and outcomes.
//
// A request is one arrival. It is matched to its profile, admitted, sent to one
// replica or, for a model that no card holds whole, along a path of replicas, and
// ends with one outcome. Each send goes on a connection of its own that carries
// nothing before or after it: there is no answer of an earlier request to mistake for
// this one's, no connection that went silent while it was idle, and nothing below
// that could send twice. It costs one handshake a request.
//
// What happens under failure. Before a byte was sent another replica is tried. After
// that a request that may not be repeated ends as unknown unless the replica says
// that it did not run it; one that may be repeated is sent once more within the retry
// budget. When a stream stalls its stages are asked for a connection, and its first replica
// for the stage that stopped; it gets other holders of the stopped stages' layers without
// being sent again. A stream that breaks goes on at the next event elsewhere, in the same answer.
// An answer that cannot be completed ends with its connection, so that it looks as
// incomplete as it is.
package relay
