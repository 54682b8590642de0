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
	// requestSlack is the time that a response may take beyond the requested wait.
	requestSlack = 10 * time.Second
	// maxResponseBytes bounds how much of a response is read.
	maxResponseBytes = 64 << 20
	// maxTokenBytes bounds how much of the token file is read.
	maxTokenBytes = 4096
	// sendAttempts bounds how often a request that gets no response is sent. Changes carry an
	// id, so one that arrives twice is made once.
	sendAttempts = 2
)

// session is one run of a command with its flags, its output and a client of one VM's admin API.
type session struct {
	*flags
	output
	token  string
	client *http.Client
}

func newSession(f *flags, o output) (*session, error) {
	if err := checkAdminURL(f.admin); err != nil {
		return nil, err
	}
	token, err := readToken(f.tokenFile)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{}
	if f.caFile != "" {
		if transport.TLSClientConfig, err = clientTLS(f.caFile); err != nil {
			return nil, err
		}
	}
	// Redirects are not followed, as that would send the token to another host.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &session{
		flags: f, output: o, token: token,
		client: &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}, nil
}

func checkAdminURL(admin string) error {
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

// clientTLS returns a configuration that trusts only the authorities in the file.
func clientTLS(file string) (*tls.Config, error) {
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

// do sends a request, and sends it again if there is no response, up to sendAttempts times.
func (s *session) do(ctx context.Context, r request) (response, error) {
	var err error
	for range sendAttempts {
		var got response
		if got, err = s.send(ctx, r); err == nil {
			return got, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return response{}, err
}

func (s *session) send(ctx context.Context, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, waitParam(r.query)+requestSlack)
	defer cancel()
	address := strings.TrimRight(s.admin, "/") + "/admin/v1" + r.path
	if len(r.query) > 0 {
		address += "?" + r.query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, address, bytes.NewReader(r.body))
	if err != nil {
		return response{}, err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+s.token)
	for name, value := range r.header {
		httpRequest.Header.Set(name, value)
	}
	httpResponse, err := s.client.Do(httpRequest)
	if err != nil {
		return response{}, err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	return response{status: httpResponse.StatusCode, header: httpResponse.Header, body: body}, err
}

// waitParam returns the wait parameter of a query, 0 if there is none.
func waitParam(query url.Values) time.Duration {
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		return 0
	}
	return wait
}

// printErrorf prints a line to the error output.
func (s *session) printErrorf(format string, args ...any) {
	fmt.Fprintf(s.err, format+"\n", args...)
}
