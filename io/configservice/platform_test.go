package configservice

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/core"
)

const validConfiguration = `{
 "version": 3, "deployment": "d", "maxInstances": 4,
 "services": [{"name": "s", "slots": 2, "connections": 25,
  "upstreams": [{"name": "u", "address": "127.0.0.1:8000", "zone": "z"}]}],
 "collections": [{"name": "c",
  "snapshots": [{"id": 1, "partitions": [{"start": 0, "end": 4294967296, "service": "s"}]}],
  "kinds": [{"name": "k", "mode": "search", "timeoutMillis": 100, "closeAfterMillis": 50, "leastCoverage": 0.9, "priority": 1}]}]
}`

func TestConfigurationDocuments(t *testing.T) {
	cases := []struct {
		name, old, new string
		// want holds parts of the error: file and line, field, value and what is
		// allowed.
		want []string
	}{
		{"an unknown field", `"slots": 2`, `"slots": 2, "speed": 9`, []string{"f.json:3", "services[0].speed", "unknown field", "slots"}},
		{"a duration with a unit", `"timeoutMillis": 100`, `"timeoutMillis": "100ms"`, []string{"f.json:7", "kinds[0].timeoutMillis", `"100ms"`, "whole number"}},
		{"a service that does not exist", `"service": "s"`, `"service": "t"`, []string{"f.json:6", "partitions[0].service", `"t"`, "no service of this name"}},
		{"a limit out of range", `"slots": 2`, `"slots": 0`, []string{"f.json:3", "services[0].slots", "value 0", "from 1"}},
		{"fewer connections than instances", `"connections": 25`, `"connections": 3`, []string{"services[0].connections", "value 3", "at least maxInstances (4)"}},
		{"a host name in place of an IP address", `127.0.0.1:8000`, `localhost:8000`, []string{"upstreams[0].address", "IP number"}},
		{"a gap between partitions", `"start": 0`, `"start": 9`, []string{"partitions[0].start", "must be 0"}},
		{"partitions that end before the end of the key space", `4294967296`, `4294967295`, []string{"partitions", "must end at 4294967296"}},
		{"an early close later than the timeout", `"closeAfterMillis": 50`, `"closeAfterMillis": 500`, []string{"closeAfterMillis", "at most timeoutMillis"}},
		{"an unknown mode", `"search"`, `"seek"`, []string{"kinds[0].mode", `"seek"`, "search, fetch, order"}},
		{"a field that occurs twice", `"slots": 2`, `"slots": 2, "slots": 2`, []string{"services[0].slots", "twice"}},
		{"a missing field", `"deployment": "d",`, ``, []string{"deployment", "must be a string"}},
		{"malformed JSON", `"version": 3,`, `"version": 3`, []string{"f.json:2", "document"}},
		{"two documents", "}]}]\n}", "}]}]\n} {}", []string{"f.json", "more than one value"}},
	}
	Convey("A valid document is decoded completely", t, func() {
		c, err := NewDecoder().ConfigurationFile("f.json", []byte(validConfiguration))
		So(err, ShouldBeNil)
		So(c.Version, ShouldEqual, 3)
		So(c.ConnectionsPerInstance(c.Services[0]), ShouldEqual, 6)
		So(c.Collections[0].Kinds[0], ShouldResemble, core.Kind{
			Name: "k", Mode: core.ModeSearch, Timeout: 100, CloseAfter: 50, MinCoverage: 0.9, Priority: 1,
		})
	})
	Convey("A document is refused with an error that names file, line, field, value and what is allowed, for", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				So(strings.Contains(validConfiguration, tc.old), ShouldBeTrue)
				_, err := NewDecoder().ConfigurationFile("f.json", []byte(strings.Replace(validConfiguration, tc.old, tc.new, 1)))
				So(errors.Is(err, ErrInvalidDocument), ShouldBeTrue)
				for _, want := range tc.want {
					So(err.Error(), ShouldContainSubstring, want)
				}
			})
		}
	})
}

func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(validConfiguration))
	f.Add([]byte(`{"version":`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := NewDecoder().Configuration(raw)
		if err == nil && (c.Version == 0 || len(c.Services) == 0) {
			t.Fatalf("accepted %q", raw)
		}
	})
}

func TestInstanceLists(t *testing.T) {
	Convey("A list is decoded, and invalid documents are refused", t, func() {
		list, err := NewDecoder().InstanceList([]byte(`{"revision": 4, "instances": [
		 {"name": "u", "role": "upstream", "zone": "z", "address": "127.0.0.1:1", "incarnation": 5, "state": "leaving"}]}`))
		So(err, ShouldBeNil)
		So(list.Members[0].Leaving, ShouldBeTrue)
		for _, raw := range []string{``, `[]`, `{"revision": 0, "instances": []}`, `{"revision": 1, "instances": [{"name": "u"}]}`} {
			_, err := NewDecoder().InstanceList([]byte(raw))
			So(errors.Is(err, ErrInvalidDocument), ShouldBeTrue)
		}
	})
}

// TestOddEntriesOfLists guards against one damaged entry of the instance list that ends the process
// or keeps it from following the list.
func TestOddEntriesOfLists(t *testing.T) {
	const valid = `{"name": "u", "role": "upstream", "zone": "z", "address": "127.0.0.1:1", "incarnation": 5, "state": "leaving"}`
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	change := func(old, new string) string { return strings.Replace(valid, old, new, 1) }
	cases := []struct{ name, entry string }{
		{"deeply nested, in an unknown field", change(`"zone"`, `"extra": `+nested(100_000)+`, "zone"`)},
		{"deeply nested, in a known field", change(`"z"`, nested(100_000))},
		{"deeply nested, in place of the entry", nested(100_000)},
		{"with objects nested deeply", change(`"zone"`, `"extra": `+strings.Repeat(`{"a":`, 50_000)+"1"+strings.Repeat("}", 50_000)+`, "zone"`)},
		{"with a number too large", change(`5`, `99999999999999999999`)},
		{"with an exponent too large", change(`5`, `1e999`)},
		{"with a negative number", change(`5`, `-5`)},
		{"with a port out of range", change(`:1"`, `:70000"`)},
		{"with port 0", change(`:1"`, `:0"`)},
		{"with an unspecified address", change(`127.0.0.1`, `0.0.0.0`)},
		{"with a field of another type", change(`"127.0.0.1:1"`, `17`)},
		{"with a field twice", change(`"zone"`, `"zone": "y", "zone"`)},
		{"in an unknown state", change(`"leaving"`, `"resting"`)},
		{"that is no object", `7`},
	}
	Convey("The other entries hold beside an entry", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				list, err := NewDecoder().InstanceList([]byte(`{"revision": 4, "instances": [` + tc.entry + ", " + valid + `]}`))
				runtime.ReadMemStats(&after)
				So(err, ShouldBeNil)
				So(list.Members, ShouldHaveLength, 1)
				So(list.Members[0].Leaving, ShouldBeTrue)
				So(list.Invalid, ShouldHaveLength, 1)
				So((after.TotalAlloc-before.TotalAlloc)>>20, ShouldBeLessThan, 64)
			})
		}
	})
	Convey("The descriptions of many invalid entries are bounded", t, func() {
		list, err := NewDecoder().InstanceList([]byte(`{"revision": 4, "instances": [` + strings.Repeat(`{"name": "`+strings.Repeat("x", 4000)+`", "role": 1}, `, 200) + valid + `]}`))
		So(err, ShouldBeNil)
		So(list.Members, ShouldHaveLength, 1)
		So(len(strings.Join(list.Invalid, "")), ShouldBeLessThan, 4000)
	})
	Convey("A configuration that is nested deeply is refused", t, func() {
		_, err := NewDecoder().Configuration([]byte(strings.Replace(validConfiguration, `"version": 3`, `"version": 3, "extra": `+nested(100_000), 1)))
		So(errors.Is(err, ErrInvalidDocument), ShouldBeTrue)
	})
}

func TestReads(t *testing.T) {
	cases := []struct {
		name   string
		handle http.HandlerFunc
		fails  bool
		want   core.PublishedValue
	}{
		{"a value", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Platform-Revision", "9")
			_, _ = io.WriteString(w, "raw")
		}, false, core.PublishedValue{Raw: []byte("raw"), Revision: 9}},
		{"no change", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }, false, core.PublishedValue{Revision: 4}},
		{"an error", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "down", http.StatusServiceUnavailable) }, true, core.PublishedValue{}},
		{"no revision", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "raw") }, true, core.PublishedValue{}},
		{"a value that is too large", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Platform-Revision", "9")
			_, _ = io.WriteString(w, strings.Repeat("x", core.MaxPublishedBytes+1))
		}, true, core.PublishedValue{}},
		{"a truncated value", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Platform-Revision", "9")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "raw")
		}, true, core.PublishedValue{}},
	}
	Convey("A read returns the value or an error if the response is", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				server := httptest.NewServer(tc.handle)
				defer server.Close()
				client := New(strings.TrimPrefix(server.URL, "http://"), &net.Dialer{})
				got, err := client.Read(context.Background(), core.KeyConfiguration, 4, 0)
				So(errors.Is(err, core.ErrPlatformUnavailable), ShouldEqual, tc.fails)
				So(got, ShouldResemble, tc.want)
			})
		}
	})
}
