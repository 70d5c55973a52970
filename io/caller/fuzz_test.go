package caller

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"acaciavane/core"
)

// requestSeeds are requests near the limits of what net/http accepts.
var requestSeeds = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;e=f\r\nx\r\n0\r\nA: b\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
	"\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\nGET / HTTP/1.1\r\n",
	"POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("x", 99999),
}

// FuzzHeadScanner guards against charging a body as a head, or the reverse: the scanner must find the
// same end of the head as net/http, however the bytes arrive.
func FuzzHeadScanner(f *testing.F) {
	for n, seed := range requestSeeds {
		f.Add([]byte(seed), n+1)
	}
	f.Fuzz(func(t *testing.T, raw []byte, piece int) {
		reader := bytes.NewReader(raw)
		buffered := bufio.NewReader(reader)
		if _, err := http.ReadRequest(buffered); err != nil {
			return
		}
		consumed := len(raw) - reader.Len() - buffered.Buffered()
		var scanner headScanner
		for rest := raw; len(rest) > 0; {
			next := rest[:min(len(rest), max(1, piece))]
			scanner.scan(next)
			rest = rest[len(next):]
		}
		if scanner.bytes != consumed || !scanner.ended {
			t.Fatalf("the scanner counts %d bytes of head, net/http %d", scanner.bytes, consumed)
		}
	})
}

// FuzzReadBody guards against bodies that are read wrongly, and against charges that are lost.
func FuzzReadBody(f *testing.F) {
	for _, seed := range requestSeeds {
		f.Add([]byte(seed))
	}
	const limit = 1 << 20
	f.Fuzz(func(t *testing.T, raw []byte) {
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		again, _ := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		want, wantErr := io.ReadAll(http.MaxBytesReader(nil, again.Body, limit))
		budget := core.NewConnectionBudget(core.NewClock(), core.ConnectionLimits{Bytes: 8 * limit}, core.NewCounters(), nil)
		account, err := budget.Open(context.Background(), func() {})
		if err != nil {
			t.Fatal(err)
		}
		body, err := ReadBody(request.WithContext(context.WithValue(context.Background(), connKey{}, account)), limit, 1)
		if (err == nil) != (wantErr == nil) || err == nil && !bytes.Equal(body, want) {
			t.Fatalf("read %d bytes and error %v, want %d bytes and error %v", len(body), err, len(want), wantErr)
		}
		if held := budget.State().Bytes; err == nil && held != core.ConnectionBytes+int64(len(body)) {
			t.Fatalf("%d bytes are charged for a body of %d", held, len(body))
		}
		account.Close()
		if held := budget.State().Bytes; held != 0 {
			t.Fatalf("%d bytes are still charged", held)
		}
	})
}
