package admincmd

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// requestSlack is what an answer may take beyond the wait that was asked for.
	requestSlack = 10 * time.Second
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 64 << 20
	maxTokenBytes  = 4096
	// sendAttempts bounds how often a request without an answer is sent. Changes
	// carry an id, so a second arrival is not a second change.
	sendAttempts = 2
)

// session is a connection to one VM's admin API with the flags of one run.
type session struct {
	*flags
	output
	token  string
	client *http.Client
}

func newSession(f *flags, o output) (*session, error) {
	if err := checkAdmin(f.admin); err != nil {
		return nil, err
	}
	token, err := readToken(f.tokenFile)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{}
	if f.caFile != "" {
		if transport.TLSClientConfig, err = trust(f.caFile); err != nil {
			return nil, err
		}
	}
	// A redirect would carry the token to another host.
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &session{
		flags: f, output: o, token: token,
		client: &http.Client{Transport: transport, CheckRedirect: stay},
	}, nil
}

func checkAdmin(admin string) error {
	if admin == "" {
		return errors.New("-admin is missing, such as -admin http://10.0.0.1:7002")
	}
	parsed, err := url.Parse(admin)
	if err != nil {
		return errors.Wrap(err, "-admin")
	}
	if parsed.Scheme != "http" && parsed.Scheme != "https" {
		return errors.Newf("-admin %s: allowed are http://IP:port and https://IP:port", admin)
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil || strings.Trim(parsed.Path, "/") != "" {
		return errors.Newf("-admin %s: allowed are http://IP:port and https://IP:port", admin)
	}
	return nil
}

func readToken(file string) (string, error) {
	if file == "" {
		return "", errors.New("-token-file is missing")
	}
	opened, err := os.Open(file)
	if err != nil {
		return "", errors.Wrap(err, "-token-file")
	}
	defer opened.Close()
	content, err := io.ReadAll(io.LimitReader(opened, maxTokenBytes))
	if err != nil {
		return "", errors.Wrap(err, "-token-file")
	}
	token := strings.TrimSpace(string(content))
	if token == "" || strings.ContainsAny(token, " \t\r\n") {
		return "", errors.Newf("-token-file %s does not hold one token", file)
	}
	return token, nil
}

func trust(file string) (*tls.Config, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "-ca-file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("-ca-file %s holds no certificate", file)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// do sends a request, again when no answer came.
func (s *session) do(ctx context.Context, r request) (reply, error) {
	var err error
	for range sendAttempts {
		var got reply
		if got, err = s.send(ctx, r); err == nil {
			return got, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return reply{}, err
}

func (s *session) send(ctx context.Context, r request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, waitOf(r.query)+requestSlack)
	defer cancel()
	address := strings.TrimRight(s.admin, "/") + "/admin/v1" + r.path
	if len(r.query) > 0 {
		address += "?" + r.query.Encode()
	}
	sent, err := http.NewRequestWithContext(ctx, r.method, address, bytes.NewReader(r.body))
	if err != nil {
		return reply{}, err
	}
	sent.Header.Set("Authorization", "Bearer "+s.token)
	for name, value := range r.header {
		sent.Header.Set(name, value)
	}
	response, err := s.client.Do(sent)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return reply{status: response.StatusCode, header: response.Header, body: body}, err
}

func waitOf(query url.Values) time.Duration {
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		return 0
	}
	return wait
}

func (s *session) complain(format string, args ...any) {
	fmt.Fprintf(s.err, format+"\n", args...)
}
