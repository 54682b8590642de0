// Package baseline is a minimal router that the product is compared with. It does what a
// plain proxy with a list of targets does: it chooses targets round-robin, queues
// requests for the slots of a target in order of arrival, has no priorities and rejects
// no request early. It retries each failed request once on another target, even if the
// request may have run, and ends a stream with a failure if a stage fails after the
// first token.
//
// It uses the same engine and service clients as the product and serves the same
// callers' API, so that a comparison shows only the difference in routing.
package baseline
