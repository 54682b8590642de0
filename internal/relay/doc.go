// Package relay serves requests whose bytes are forwarded unchanged. The caller receives the
// replica's own response and signature. Package router, in contrast, serves prompts and assembles
// the tokens itself. Both use the same gate, admission, choice of targets, send guard, retry
// budget, connections and outcomes.
//
// A request is matched to its profile, admitted, and sent to one replica or, for a model that no
// single card holds, along a path of replicas. It ends with one outcome. Each send uses a new
// connection that carries nothing else: no response of an earlier request can be mistaken for this
// one's, no connection can have failed while it was idle, and no lower layer can send the request
// twice. This costs one handshake per request.
//
// Failures are handled as follows. Before a byte was sent, another replica is tried. After that, a
// request that may not be repeated ends as unknown unless the replica declares that it did not run
// it; one that may be repeated is sent again, within the MaxAttempts of its profile and the retry
// budget. When a stream stalls, its stages are probed with a connection attempt, and its first
// replica is queried for the stage that stopped. The stream is moved to other holders of the
// stopped stages' layers without being sent again. A stream that breaks off continues at the next
// event on another path, within the same response. A response that cannot be completed ends with
// its connection, so that the caller can detect that it is incomplete.
package relay
