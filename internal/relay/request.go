package relay

import (
	"net/http"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/quarantine"
)

// request is one arrival in hand.
type request struct {
	Inbound
	method  string
	host    string
	url     *url.URL
	header  http.Header
	body    []byte
	arrival time.Time
	// deadline is when the caller or the profile gives up.
	deadline time.Time

	config    *Config
	profile   *Profile
	workspace string
	priority  int
	service   string
	// digest identifies the content once the body was read.
	digest   quarantine.Digest
	boundary *dispatch.SendGuard
	story    story
	// progress of a generation, for the log.
	progress progress
	// runs counts the replicas that may have run the request.
	runs int
}

func (q *request) hash() uint64 { return xxhash.Sum64String(q.RequestID) }

// contentDigest identifies what the request asks for; its body must have been read.
func (q *request) contentDigest() quarantine.Digest {
	return quarantine.DigestOf(quarantine.Content{
		Method: q.method, Host: q.host, URI: q.url.RequestURI(), Workspace: q.workspace, Body: q.body,
	})
}

// left is how long the request may still take.
func (q *request) left() time.Duration { return time.Until(q.deadline) }

// urgency maps the operator's ranks to the levels of admission.
func (q *request) urgency() config.Urgency {
	switch {
	case q.priority <= 0:
		return config.Urgent
	case q.priority <= lastNormalPriority:
		return config.Normal
	}
	return config.Bulk
}

// lastNormalPriority is the last of the ten ranks that is not bulk.
const lastNormalPriority = 4
