package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// firstRequestID is an example of an ID on the pages; others count up from it.
const firstRequestID = 0x1c41d07be2a35f68

var requestNumber atomic.Int64

// newID returns a new request ID.
func newID() string { return fmt.Sprintf("%016x", firstRequestID+requestNumber.Add(1)) }

// answer is what a client got for one attempt.
type answer struct {
	id      string
	sent    time.Time
	elapsed time.Duration
	status  int
	err     error
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true, IdleConnTimeout: 8 * time.Second}}
}

// ask sends one attempt and reads its answer.
func ask(client *http.Client, address, target, caller string, deadline time.Duration) answer {
	a := answer{id: newID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+target, nil)
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set(headerCaller, caller)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(max(1, deadline.Milliseconds())))
	response, err := client.Do(request)
	if err != nil {
		a.err, a.elapsed = err, time.Since(a.sent)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	_, a.err = io.Copy(io.Discard, response.Body)
	a.elapsed = time.Since(a.sent)
	return a
}
