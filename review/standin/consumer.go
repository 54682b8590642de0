package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"geraniumcroft/platform/fake"
)

// channel is a consumer's connection to a machine.
type channel struct {
	conn    net.Conn
	reader  *bufio.Reader
	machine *machine
	// answered counts the requests that were answered on it.
	answered int
}

// dial opens a channel to the machine that the platform picks, and tries again for a time.
func (f *fleet) dial(zone string, hash int, timeout time.Duration) (*channel, error) {
	for deadline := time.Now().Add(timeout); ; hash++ {
		m := f.pick(zone, hash)
		conn, err := net.DialTimeout("tcp", m.front, time.Second)
		if err == nil {
			return &channel{conn: conn, reader: bufio.NewReader(conn), machine: m}, nil
		}
		if time.Now().After(deadline) {
			return nil, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// dialMachine opens a channel to a machine.
func dialMachine(m *machine) (*channel, error) {
	conn, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn), machine: m}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// sending is a request of a consumer.
type sending struct {
	id, method, path, key string
	timeLimit             time.Duration
	body                  []byte
	// pieces is in how many parts the body is sent, over the time uploadTime.
	pieces     int
	uploadTime time.Duration
}

// reply is what a consumer got.
type reply struct {
	status    int
	signature string
	body      string
	// complete is set if the whole answer has come.
	complete bool
	closes   bool
}

// do sends a request and reads the answer. The error tells how the channel ended.
func (c *channel) do(s sending) (reply, error) {
	var head strings.Builder
	_, _ = fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nToken-Count: 100,100\r\n", s.method, s.path, fake.Host, s.id, s.timeLimit.Milliseconds())
	if s.key != "" {
		_, _ = fmt.Fprintf(&head, "Api-Key: %s\r\n", s.key)
	}
	if s.method != http.MethodGet {
		_, _ = fmt.Fprintf(&head, "Content-Length: %d\r\n", len(s.body))
	}
	head.WriteString("\r\n")
	if err := c.conn.SetDeadline(time.Now().Add(s.timeLimit)); err != nil {
		return reply{}, err
	}
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		return reply{}, err
	}
	sendErr := c.sendBody(s)
	var broken net.Error
	if errors.As(sendErr, &broken) && broken.Timeout() {
		return reply{}, sendErr
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: s.method}) // there may be an answer although the body was not read
	if err != nil {
		return reply{}, fmt.Errorf("sending: %v, reading: %w", sendErr, err)
	}
	body, err := io.ReadAll(resp.Body)
	got := reply{status: resp.StatusCode, signature: resp.Header.Get("Response-Signature"), body: string(body), complete: err == nil, closes: resp.Close || sendErr != nil}
	if err == nil {
		c.answered++
	}
	return got, err
}

// sendBody sends the body in even parts.
func (c *channel) sendBody(s sending) error {
	pieces := max(1, s.pieces)
	for i := range pieces {
		if i > 0 {
			time.Sleep(s.uploadTime / time.Duration(pieces))
		}
		if _, err := c.conn.Write(s.body[len(s.body)*i/pieces : len(s.body)*(i+1)/pieces]); err != nil {
			return err
		}
	}
	return nil
}

// call sends one request on a new channel and returns the status, 0 if there was no answer.
func call(m *machine, s sending) int {
	ch, err := dialMachine(m)
	if err != nil {
		return 0
	}
	defer ch.close()
	got, err := ch.do(s)
	if err != nil {
		return 0
	}
	return got.status
}
