package adminapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
)

// fakeStore is a Store without a table. Proposals are in force at once.
type fakeStore struct {
	config.StaticSource
	mu            sync.Mutex // guards the fields below
	changes       []config.Change
	missing       []string
	proposeErr    error
	beforePropose func()        // called once by the next Propose, without the lock
	onPoll        func()        // called by Poll; may be nil
	waitStarted   chan struct{} // receives an element per blocking Wait; if nil, Wait doesn't block
	proposed      []confstore.Proposal
}

func newFakeStore(t *testing.T, proposals ...confstore.Proposal) *fakeStore {
	t.Helper()
	s := &fakeStore{}
	s.Set(config.NewSnapshot())
	for _, p := range proposals {
		s.mustPropose(t, p)
	}
	return s
}

func (s *fakeStore) mustPropose(t *testing.T, p confstore.Proposal) {
	t.Helper()
	if _, err := s.Propose(context.Background(), p); err != nil {
		t.Error(err)
	}
}

func (s *fakeStore) Propose(_ context.Context, p confstore.Proposal) (config.Change, error) {
	if before := s.beforePropose; before != nil {
		s.beforePropose = nil
		before()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proposed = append(s.proposed, p)
	if s.proposeErr != nil {
		return config.Change{}, s.proposeErr
	}
	snapshot := s.Current()
	entity, revision := snapshot.Entity(p.Kind, p.Name)
	if revision != p.IfRevision {
		current, _ := json.Marshal(entity)
		return config.Change{}, &confstore.ConflictError{
			Kind: p.Kind, Name: p.Name, Current: current, Revision: revision, Wanted: p.IfRevision,
		}
	}
	change := config.Change{
		Version: snapshot.Version + 1, ID: p.ID, Author: p.Author, Kind: p.Kind, Name: p.Name, Value: p.Value,
	}
	if findings := config.Validate(change, snapshot); len(findings) > 0 {
		return config.Change{}, &config.ValidationError{Findings: findings}
	}
	next, err := snapshot.Apply(change)
	if err != nil {
		return config.Change{}, err
	}
	s.changes = append(s.changes, change)
	s.Set(next)
	return change, nil
}

func (s *fakeStore) Lookup(_ context.Context, id string) (config.Change, error) {
	for _, change := range s.changes {
		if change.ID == id {
			return change, nil
		}
	}
	return config.Change{}, &confstore.UnknownChangeError{ID: id}
}

func (s *fakeStore) History(_ context.Context, after uint64, limit int) ([]config.Change, error) {
	from := min(int(after), len(s.changes))
	return s.changes[from:min(len(s.changes), from+limit)], nil
}

func (s *fakeStore) Poll(context.Context) error {
	if s.onPoll != nil {
		s.onPoll()
	}
	return nil
}

func (s *fakeStore) Wait(ctx context.Context, version uint64, _ confstore.Confirmer) confstore.Acceptance {
	if s.waitStarted != nil && ctx.Err() == nil {
		s.waitStarted <- struct{}{}
		<-ctx.Done()
	}
	return confstore.Acceptance{
		Version: version, Accepted: len(s.missing) == 0, Confirmed: []string{"vm-1"}, Missing: s.missing,
	}
}

// fakeAuthenticator accepts the tokens "reader" and "operator".
type fakeAuthenticator struct{}

func (fakeAuthenticator) Authenticate(token string) (string, Role, bool) {
	switch token {
	case "reader":
		return "rosa", RoleRead, true
	case "operator":
		return "ana", RoleOperate, true
	}
	return "", "", false
}

// client sends requests to an API that has its own listener.
type client struct {
	t      *testing.T
	server *httptest.Server
}

func newClient(t *testing.T, o Options) *client {
	t.Helper()
	o.Authenticator = fakeAuthenticator{}
	api, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(nil)
	server.Config = api.Server()
	server.Start()
	t.Cleanup(server.Close)
	return &client{t: t, server: server}
}

// sendWithContext sends a request that is cancelled with ctx and ignores the response.
func (c *client) sendWithContext(ctx context.Context, method, path string) {
	request, err := http.NewRequestWithContext(ctx, method, c.server.URL+path, nil)
	if err != nil {
		c.t.Error(err)
		return
	}
	request.Header.Set("Authorization", "Bearer operator")
	if response, err := c.server.Client().Do(request); err == nil {
		response.Body.Close()
	}
}

// reply is a complete response.
type reply struct {
	status int
	header http.Header
	body   string
}

// send sends one request; headers are "Name: value" lines.
func (c *client) send(method, path, body string, headers ...string) reply {
	c.t.Helper()
	request, err := http.NewRequest(method, c.server.URL+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer operator")
	for _, line := range headers {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
	}
	response, err := c.server.Client().Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return reply{status: response.StatusCode, header: response.Header, body: string(text)}
}

// expect checks within a Convey that a response has the status and that its body
// contains all parts.
func (c *client) expect(r reply, status int, parts ...string) {
	c.t.Helper()
	SoMsg(r.body, r.status, ShouldEqual, status)
	for _, part := range parts {
		So(r.body, ShouldContainSubstring, part)
	}
}
