package relay

import (
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/overload"
	"geraniumcroft/internal/quarantine"
)

// request is a caller's request in progress.
type request struct {
	Inbound
	method  string
	host    string
	url     *url.URL
	header  http.Header
	body    []byte
	arrival time.Time
	// bodyBuffer holds the body, nil if there is none.
	bodyBuffer *bodyBuffer
	// answerCredit is the memory that is reserved for the answer to a call, in bytes, until the answer takes it.
	answerCredit int64
	// deadline is the end of the caller's or the profile's timeout, less responseMargin.
	deadline time.Time

	config    *Config
	profile   *Profile
	workspace string
	priority  int
	service   string
	// class is how the request competes for the replicas of its service, the zero value if it does not.
	class overload.Class
	// startCounted is set once the start of the request has been counted.
	startCounted bool
	// identities are what a crash of a replica that runs the request may be due to, the whole content first.
	// They are set once the body has been read.
	identities  []quarantine.Identity
	sendGuard   *dispatch.SendGuard
	decisionLog decisionLog
	// progress is that of a generation, for the log.
	progress progress
	// runs counts the replicas that may have run the request.
	runs int
	// peers are those that connected the request to a replica, one for each such send.
	peers []string
	// direct is set while the connection of the current send does not go through a peer.
	direct atomic.Bool
}

// hash returns a hash of the request's id, by which its backend is chosen.
func (q *request) hash() uint64 { return xxhash.Sum64String(q.RequestID) }

// identify sets what the request is known again by. The body must have been read and the service chosen.
func (q *request) identify() {
	content := quarantine.DigestOf(quarantine.Content{
		Method: q.method, Host: q.host, URI: q.url.RequestURI(), Workspace: q.workspace, Body: q.body,
	})
	q.identities = append([]quarantine.Identity{quarantine.RequestIdentity(content)}, quarantine.PartIdentities(q.service, q.sharedParts())...)
}

// sharedParts returns the ids of the parts of the prompt that other requests may have too.
func (q *request) sharedParts() []string {
	return q.PromptParts[:max(0, len(q.PromptParts)-1)]
}

// releaseBody gives the memory of the body back.
func (q *request) releaseBody() {
	if q.bodyBuffer != nil {
		q.bodyBuffer.release()
	}
}

// remaining returns the time until the deadline.
func (q *request) remaining() time.Duration { return time.Until(q.deadline) }

// urgency maps the operator's priorities to the urgencies of admission. Where priorities compete, only
// their order counts: the first third of the ranks is urgent and the last third is bulk.
func (q *request) urgency() config.Urgency {
	if q.class.Competing() {
		switch {
		case 3*q.class.Rank < q.class.Ranks:
			return config.Urgent
		case 3*q.class.Rank >= 2*q.class.Ranks:
			return config.Bulk
		}
		return config.Normal
	}
	switch {
	case q.priority <= 0:
		return config.Urgent
	case q.priority <= lastNormalPriority:
		return config.Normal
	}
	return config.Bulk
}

// enginePriority returns the priority that the replica is told: the rank where requests compete.
func (q *request) enginePriority() int {
	if q.class.Competing() {
		return min(q.class.Rank, lastEnginePriority)
	}
	return q.priority
}

// lastEnginePriority is the least urgent of the priorities that replicas know.
const lastEnginePriority = 9

// lastNormalPriority is the last of the ten priorities that is not bulk.
const lastNormalPriority = 4
