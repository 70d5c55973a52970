//go:build reviewlab

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "pupu76.example"

var requestNumber atomic.Int64

// result is the answer to one request. Its status is 0 if the connection ended without one.
type result struct {
	id     string
	status int
	header http.Header
	body   string
}

// newClient returns a client that keeps its connections open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, Timeout: 6 * time.Second}
}

// send sends one request with an id of its own.
func send(client *http.Client, address, method, path, body string, deadline time.Duration) result {
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1))
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return result{id: id}
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return result{id: id}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return result{id: id}
	}
	return result{id: id, status: response.StatusCode, header: response.Header, body: string(raw)}
}
