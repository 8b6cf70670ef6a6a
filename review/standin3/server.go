//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is an HTTP server of a stand-in.
type server struct {
	address string
	http    *http.Server
}

// serve serves a handler on an address. A connection is accepted after a delay.
func serve(address string, handler http.Handler, delay time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if delay > 0 {
		listener = newSlowListener(listener, delay)
	}
	s := &server{listener.Addr().String(), &http.Server{Handler: handler}}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// slowListener accepts connections after a delay, as the handshake over a long link does.
type slowListener struct {
	net.Listener
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newSlowListener(l net.Listener, delay time.Duration) *slowListener {
	s := &slowListener{Listener: l, accepted: make(chan net.Conn), closed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			time.AfterFunc(delay, func() {
				select {
				case s.accepted <- c:
				case <-s.closed:
					_ = c.Close()
				}
			})
		}
	}()
	return s
}

// Accept implements net.Listener.
func (s *slowListener) Accept() (net.Conn, error) {
	select {
	case c := <-s.accepted:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *slowListener) Close() error {
	s.once.Do(func() { close(s.closed) })
	return s.Listener.Close()
}

// loopbackIP returns a random loopback address.
func loopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.N(254), rand.N(255), 1+rand.N(254))
}

// freeLoopback returns port 0 of a random loopback address.
func freeLoopback() string { return loopbackIP() + ":0" }

// freePorts returns n addresses at the ip that are free now.
func freePorts(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // only reserves a port
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// respond sends a response with a JSON body.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the other side may have left
}
