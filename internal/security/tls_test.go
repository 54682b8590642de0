package security

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func newSource(t *testing.T, files TLSFiles, o Options) *TLSSource {
	t.Helper()
	if o.PollInterval == 0 {
		o.PollInterval = time.Hour
	}
	source, err := NewTLSSource(files, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(source.Close)
	return source
}

// handshake connects client and server and returns the serial number of the server's
// certificate, or the first error of either side.
func handshake(t *testing.T, server, client *tls.Config) (serial int64, err error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	serverResult := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			defer conn.Close()
			_, err = tls.Server(conn, server).Write([]byte{1})
		}
		serverResult <- err
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn := tls.Client(raw, client)
	err = conn.HandshakeContext(context.Background())
	if err == nil {
		serial = conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
		// The session ticket arrives before the first byte of data.
		_, err = conn.Read(make([]byte, 1))
	}
	raw.Close()
	if serverErr := <-serverResult; err == nil {
		err = serverErr
	}
	return serial, err
}

func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	serverFiles, _ := ours.write(t.TempDir(), "127.0.0.1")
	clientFiles, _ := ours.write(t.TempDir(), "10.0.0.1")
	foreignFiles, _ := theirs.write(t.TempDir(), "127.0.0.1")
	server, client, foreign := newSource(t, serverFiles, Options{}), newSource(t, clientFiles, Options{}), newSource(t, foreignFiles, Options{})
	unverified := foreign.ClientConfig("127.0.0.1")
	unverified.VerifyConnection = nil // so that only the server can refuse

	if _, err := handshake(t, server.ServerConfig(), client.ClientConfig("127.0.0.1")); err != nil {
		t.Errorf("client and server of one authority: %v", err)
	}
	refused := map[string]func() (int64, error){
		"a client of another authority": func() (int64, error) { return handshake(t, server.ServerConfig(), unverified) },
		"a client without certificate": func() (int64, error) {
			return handshake(t, server.ServerConfig(), &tls.Config{InsecureSkipVerify: true})
		},
		"a server of another authority": func() (int64, error) {
			return handshake(t, foreign.ServerConfig(), client.ClientConfig("127.0.0.1"))
		},
		"a server at another address": func() (int64, error) { return handshake(t, server.ServerConfig(), client.ClientConfig("127.0.0.2")) },
		"a server without a name":     func() (int64, error) { return handshake(t, server.ServerConfig(), client.ClientConfig("")) },
	}
	for name, connect := range refused {
		if _, err := connect(); err == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}

func TestServesHTTP(t *testing.T) {
	files, _ := newAuthority(t).write(t.TempDir(), "127.0.0.1")
	source := newSource(t, files, Options{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	server := &http.Server{Handler: handler, TLSConfig: source.ServerConfig()}
	defer server.Close()
	go server.ServeTLS(listener, "", "")
	client := http.Client{Transport: &http.Transport{TLSClientConfig: source.ClientConfig("127.0.0.1")}}
	response, err := client.Get("https://" + listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusTeapot {
		t.Errorf("status %d", response.StatusCode)
	}
}

// While a certificate is renewed, its file is replaced by one that is not a certificate. New
// connections continue to use the previous certificate, and the error is logged. Once the
// file is valid they use the new certificate, without a restart.
func TestCertificateIsRenewed(t *testing.T) {
	for _, mode := range []string{"notice", "poll"} {
		t.Run(mode, func(t *testing.T) {
			a := newAuthority(t)
			directory := t.TempDir()
			files, first := a.write(directory, "127.0.0.1")
			core, logged := observer.New(zap.ErrorLevel)
			results := make(chan error, 100)
			o := Options{Logger: zap.New(core), OnReload: func(err error) { results <- err }}
			if mode == "poll" {
				o.PollInterval, o.pollOnly = time.Millisecond, true
			}
			source := newSource(t, files, o)
			server, client := source.ServerConfig(), source.ClientConfig("127.0.0.1")

			if err := os.WriteFile(files.Cert, []byte("no certificate"), 0o600); err != nil {
				t.Fatal(err)
			}
			waitFor(t, results, false)
			if serial, err := handshake(t, server, client); err != nil || serial != first {
				t.Errorf("with the invalid file: serial %d, want %d, %v", serial, first, err)
			}
			if logged.Len() == 0 {
				t.Error("the invalid file is not logged")
			}
			_, second := a.write(directory, "127.0.0.1")
			waitFor(t, results, true)
			if serial, err := handshake(t, server, client); err != nil || serial != second {
				t.Errorf("after the renewal: serial %d, want %d, %v", serial, second, err)
			}
		})
	}
}

// A CA file without a certificate is an error. With an empty pool every connection would
// fail, and the cause would be hard to find.
func TestAuthoritiesWithoutACertificateAreRefused(t *testing.T) {
	files, _ := newAuthority(t).write(t.TempDir(), "127.0.0.1")
	if err := os.WriteFile(files.CA, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	source, err := NewTLSSource(files, Options{})
	if err == nil {
		source.Close()
		t.Error("a CA file without a certificate is accepted")
	}
}

// An authority is removed from the CA file, for example after the loss of its key. A
// client with a certificate of this authority is refused at its next connection, even if it
// has a session that it could resume without presenting the certificate again.
func TestAuthorityIsTakenOut(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	directory := t.TempDir()
	serverFiles, _ := ours.write(directory, "127.0.0.1")
	clientFiles, _ := ours.write(t.TempDir(), "10.0.0.1")
	results := make(chan error, 100)
	source := newSource(t, serverFiles, Options{OnReload: func(err error) { results <- err }})
	server := source.ServerConfig()
	client := newSource(t, clientFiles, Options{}).ClientConfig("127.0.0.1")
	client.ClientSessionCache = tls.NewLRUClientSessionCache(1)
	if _, err := handshake(t, server, client); err != nil {
		t.Fatal(err)
	}
	ours.WritePEM(serverFiles.CA, "CERTIFICATE", theirs.Cert.Raw)
	waitFor(t, results, true)
	if _, err := handshake(t, server, client); err == nil {
		t.Error("a client of the removed authority is accepted")
	}
}

func waitFor(t *testing.T, results <-chan error, ok bool) {
	t.Helper()
	for range 100 {
		if err := <-results; (err == nil) == ok {
			return
		}
	}
	t.Fatal("100 reloads without the expected result")
}

// A token that is removed from the file stops working without a restart.
func TestTokenIsRemoved(t *testing.T) {
	path := t.TempDir() + "/tokens"
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("ana operate " + DigestOf("a") + "\nben read " + DigestOf("b") + "\n")
	results := make(chan error, 100)
	authenticator, err := NewAuthenticator(path, Options{PollInterval: time.Hour, OnReload: func(err error) { results <- err }})
	if err != nil {
		t.Fatal(err)
	}
	defer authenticator.Close()
	write("ben read " + DigestOf("b") + "\n")
	waitFor(t, results, true)
	if _, _, ok := authenticator.Authenticate("a"); ok {
		t.Error("the removed token still works")
	}
	if author, _, ok := authenticator.Authenticate("b"); !ok || author != "ben" {
		t.Error("the other token does not work any more")
	}
}
