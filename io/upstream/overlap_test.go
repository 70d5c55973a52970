package upstream

import (
	"math/rand/v2"
	"strings"
	"testing"
)

const secondCopy = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// TestDisplacedBytes guards against a body that is taken for a whole one although the first bytes of
// another reply, inserted at any byte, displace its end. Only some of the displaced bytes may have
// arrived.
func TestDisplacedBytes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		whole := make([]byte, 1+random.IntN(40))
		for i := range whole {
			// The bytes of a status line occur often, so that bodies resemble one.
			whole[i] = "HTTP/1.0 2a\n"[random.IntN(12)]
		}
		for at := range whole {
			for count := 1; count <= len(secondCopy); count++ {
				stream := string(whole[:at]) + secondCopy[:count] + string(whole[at:])
				body, rest := stream[:len(whole)], stream[len(whole):]
				for arrived := 1; arrived <= len(rest); arrived++ {
					if !isDisplaced([]byte(body), []byte(rest[:arrived])) {
						t.Fatalf("%d bytes inserted at %d of %q: %q followed by %q was accepted", count, at, whole, body, rest[:arrived])
					}
				}
			}
		}
	}
}

// TestBytesAfterWholeBody guards against whole bodies that are refused because bytes follow them
// that belong to no request.
func TestBytesAfterWholeBody(t *testing.T) {
	cases := []struct {
		name, body, following string
		want                  bool
	}{
		{"nothing follows", "HTTP/1.1 200", "", false},
		{"a copy follows", "body", secondCopy, false},
		{"a copy follows a body that ends like the beginning of one", "a path, such as /HT", secondCopy, false},
		{"a copy follows a body with a part of a status line", "HTTP/1.1 and HTTP/2", secondCopy, false},
		{"two bytes follow", "His Hat", "\r\n", false},
		{"three bytes follow a body with two of a status line", "HT", "\x00\x01\x02", false},
		{"one byte follows a body with the first byte of a status line, which can't be told apart", "His", "\n", true},
		{"bytes follow a body that quotes a status line, which can't be told apart", "HTTP/1.1 200", strings.Repeat("x", 40), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := isDisplaced([]byte(tc.body), []byte(tc.following)); got != tc.want {
				t.Errorf("isDisplaced is %v", got)
			}
		})
	}
}

// TestInterruptedNames guards against a field whose name is damaged by the first bytes of another
// reply, so that the field counts as absent, and against sound names that are taken for damaged ones.
func TestInterruptedNames(t *testing.T) {
	fields := []string{"Content-Length", "X-H"}
	for _, field := range fields {
		for at := range len(field) + 1 {
			for count := range len("HTTP") {
				name := field[:at] + "HTTP"[:count+1] + field[at:]
				if !isInterrupted(strings.ToLower(name), fields) {
					t.Errorf("%s is taken for a sound name", name)
				}
			}
		}
	}
	for _, name := range []string{"Content-Length", "X-H", "X-Content-Length", "Content-Lengths", "X", "X-HTTPS", "Date"} {
		if isInterrupted(name, fields) {
			t.Errorf("%s is taken for an interrupted name", name)
		}
	}
}
