package core

import (
	"math"
	"strings"
	"testing"
)

// soundConfiguration returns a configuration without findings.
func soundConfiguration() Configuration {
	route := Route{Name: "plain", Host: "h", PathPrefix: "/p/", Timeout: Second, Objective: 100, MaxAttempts: 1, Destinations: []Destination{{"s0", 9}, {"s1", 0}}}
	shards := Route{Name: "shards", Host: "h", PathPrefix: "/p/s/", Idempotent: true, Timeout: Second, Objective: 100, MaxAttempts: 4, Shards: []string{"s0", "s1"}, TopK: 3, MinCoverage: 0.5}
	return Configuration{
		Version: 7, Digest: "d", Routes: []Route{route, shards}, Limits: CallerLimits{16, 64, 3000, 15_000},
		Services: []Service{{Name: "s0", Connections: 25, HealthPath: "/health"}, {Name: "s1", Connections: 25, HealthPath: "/health"}},
	}
}

var testLimits = AcceptedLimits{16, 64, 3000, 15_000}

// TestConfigurationRules guards against a rule that does not find its problem, finds it in a sound
// configuration, or names the wrong place.
func TestConfigurationRules(t *testing.T) {
	plain, shards := Place{Kind: EntryRoute, Name: "plain"}, Place{Kind: EntryRoute, Name: "shards"}
	service, limits := Place{Kind: EntryService, Name: "s1"}, Place{Kind: EntryLimits}
	cases := []struct {
		name     string
		change   func(c *Configuration, plain, shards *Route)
		severity Severity
		place    Place
		field    ConfigurationField
	}{
		{"same host and prefix", func(_ *Configuration, p, s *Route) { s.Host, s.PathPrefix = "H", p.PathPrefix }, SeverityError, shards, FieldPathPrefix},
		{"repeated service", func(c *Configuration, _, _ *Route) { c.Services = append(c.Services, c.Services[1]) }, SeverityError, service, FieldName},
		{"undefined destination", func(_ *Configuration, p, _ *Route) { p.Destinations[1].Service = "x" }, SeverityError, plain, FieldDestinations},
		{"undefined shard", func(_ *Configuration, _, s *Route) { s.Shards = []string{"s0", "s1", "x"} }, SeverityError, shards, FieldShards},
		{"unused service", func(_ *Configuration, p, s *Route) {
			p.Destinations, s.Shards = p.Destinations[:1], []string{"s0"}
			s.MinCoverage = 0.5
		}, SeverityWarning, service, FieldNone},
		{"empty prefix", func(_ *Configuration, p, _ *Route) { p.PathPrefix = "" }, SeverityWarning, plain, FieldPathPrefix},
		{"prefix without first slash", func(_ *Configuration, p, _ *Route) { p.PathPrefix = "p/" }, SeverityError, plain, FieldPathPrefix},
		{"prefix without last slash", func(_ *Configuration, p, _ *Route) { p.PathPrefix = "/p" }, SeverityWarning, plain, FieldPathPrefix},
		{"prefix with a query", func(_ *Configuration, p, _ *Route) { p.PathPrefix = "/p?a=/" }, SeverityError, plain, FieldPathPrefix},
		{"no host", func(_ *Configuration, p, _ *Route) { p.Host = "" }, SeverityError, plain, FieldHost},
		{"no destination", func(_ *Configuration, p, _ *Route) { p.Destinations = nil }, SeverityError, plain, FieldDestinations},
		{"shards and destination", func(_ *Configuration, p, s *Route) { s.Destinations = p.Destinations }, SeverityError, shards, FieldDestinations},
		{"all weights 0", func(_ *Configuration, p, _ *Route) { p.Destinations[0].Weight = 0 }, SeverityError, plain, FieldDestinations},
		{"negative weight", func(_ *Configuration, p, _ *Route) { p.Destinations[0].Weight = -1 }, SeverityError, plain, FieldDestinations},
		{"weight not a number", func(_ *Configuration, p, _ *Route) { p.Destinations[0].Weight = math.NaN() }, SeverityError, plain, FieldDestinations},
		{"repeated shard", func(_ *Configuration, _, s *Route) { s.Shards = []string{"s0", "s1", "s1"} }, SeverityError, shards, FieldShards},
		{"short timeout", func(_ *Configuration, p, _ *Route) { p.Timeout, p.Objective = ReplyMarginMillis, 1 }, SeverityError, plain, FieldTimeout},
		{"no objective", func(_ *Configuration, p, _ *Route) { p.Objective = 0 }, SeverityError, plain, FieldObjective},
		{"short objective of shards", func(_ *Configuration, _, s *Route) { s.Objective = CloseMarginMillis }, SeverityError, shards, FieldObjective},
		{"objective above timeout", func(_ *Configuration, p, _ *Route) { p.Objective = 1001 }, SeverityWarning, plain, FieldObjective},
		{"repeats of requests that run once", func(_ *Configuration, p, _ *Route) { p.MaxAttempts = 2 }, SeverityWarning, plain, FieldMaxAttempts},
		{"more attempts than are made", func(_ *Configuration, _, s *Route) { s.MaxAttempts = 5 }, SeverityWarning, shards, FieldMaxAttempts},
		{"coverage above 1", func(_ *Configuration, _, s *Route) { s.MinCoverage = 1.5 }, SeverityError, shards, FieldMinCoverage},
		{"no coverage", func(_ *Configuration, _, s *Route) { s.MinCoverage = 0 }, SeverityError, shards, FieldMinCoverage},
		{"coverage not a number", func(_ *Configuration, _, s *Route) { s.MinCoverage = math.NaN() }, SeverityError, shards, FieldMinCoverage},
		{"coverage of all shards", func(_ *Configuration, _, s *Route) { s.MinCoverage = 0.51 }, SeverityWarning, shards, FieldMinCoverage},
		{"no records", func(_ *Configuration, _, s *Route) { s.TopK = 0 }, SeverityError, shards, FieldTopK},
		{"no connections", func(c *Configuration, _, _ *Route) { c.Services[1].Connections = 0 }, SeverityWarning, service, FieldConnections},
		{"no health check", func(c *Configuration, _, _ *Route) { c.Services[1].HealthPath = "" }, SeverityError, service, FieldHealthPath},
		{"header of 0", func(c *Configuration, _, _ *Route) { c.Limits.HeaderBytes = 0 }, SeverityWarning, limits, FieldHeaderBytes},
		{"header above the maximum", func(c *Configuration, _, _ *Route) { c.Limits.HeaderBytes = 17 }, SeverityError, limits, FieldHeaderBytes},
		{"body of 0", func(c *Configuration, _, _ *Route) { c.Limits.BodyBytes = 0 }, SeverityWarning, limits, FieldBodyBytes},
		{"body above the maximum", func(c *Configuration, _, _ *Route) { c.Limits.BodyBytes = 65 }, SeverityError, limits, FieldBodyBytes},
		{"long header timeout", func(c *Configuration, _, _ *Route) { c.Limits.HeaderTimeout = 3001 }, SeverityError, limits, FieldHeaderTimeout},
		{"long idle timeout", func(c *Configuration, _, _ *Route) { c.Limits.IdleTimeout = 15_001 }, SeverityError, limits, FieldIdleTimeout},
	}
	if findings := CheckConfiguration(soundConfiguration(), testLimits); len(findings) > 0 {
		t.Fatalf("a sound configuration: %+v", findings)
	}
	for _, tc := range cases {
		c := soundConfiguration()
		tc.change(&c, &c.Routes[0], &c.Routes[1])
		tc.place.Field = tc.field
		findings := CheckConfiguration(c, testLimits)
		if len(findings) != 1 || findings[0].Severity != tc.severity || findings[0].Place != tc.place || findings[0].Problem == "" || findings[0].Consequence == "" {
			t.Errorf("%s: %+v", tc.name, findings)
		}
	}
}

// TestVersionRule guards against a configuration that instances would ignore.
func TestVersionRule(t *testing.T) {
	for _, tc := range []struct {
		version uint64
		digest  string
		want    Severity
		text    string
	}{
		{8, "a", "", ""}, {7, "d", SeverityWarning, "nothing changes"}, {6, "e", SeverityError, "lower than version 7"},
		{7, "c", SeverityError, "which is the one in force"}, {7, "e", SeverityError, "which is the new one"},
	} {
		var got Finding
		for _, finding := range CheckVersion(Configuration{Version: tc.version, Digest: tc.digest}, soundConfiguration()) {
			got = finding
		}
		if got.Severity != tc.want || !strings.Contains(got.Problem+got.Consequence, tc.text) {
			t.Errorf("version %d, digest %s: %+v", tc.version, tc.digest, got)
		}
	}
}

// TestDifferences guards against differences that are not described, or are described for equal
// entries.
func TestDifferences(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *Configuration)
		want   string
	}{
		{"nothing", func(*Configuration) {}, ""},
		{"timeout", func(c *Configuration) { c.Routes[0].Timeout = 1500 }, "route plain timeout: the longest time that a caller waits changes from 1 s to 1500 ms"},
		{"split", func(c *Configuration) { c.Routes[0].Destinations[1].Weight = 1 }, "route plain destinations: the destination changes from s0 (100%), s1 (0%) to s0 (90%), s1 (10%)"},
		{"shards", func(c *Configuration) { c.Routes[1].Shards = []string{"s0", "s2"} }, "route shards shards: shards added: s2; removed: s1"},
		{"order of shards", func(c *Configuration) { c.Routes[1].Shards = []string{"s1", "s0"} }, "route shards shards: shards come in another order or number"},
		{"shards in place of a destination", func(c *Configuration) { c.Routes[0].Shards = []string{"s0"} }, "route plain destinations: the destination changes from s0 (100%), s1 (0%) to all shards|route plain shards: shards added: s0"},
		{"removed route", func(c *Configuration) { c.Routes = c.Routes[:1] }, `route shards : removed: requests to h/p/s/ go to all 2 shards; they match route "plain" now`},
		{"other removed route", func(c *Configuration) { c.Routes = c.Routes[1:] }, "route plain : removed: requests to h/p/ go to s0 (100%), s1 (0%); they get status 404 now"},
		{"added service", func(c *Configuration) { c.Services = append(c.Services, Service{Name: "s2", Connections: 9}) }, "service s2 : added: a service whose upstreams accept 9 connections each"},
		{"limits", func(c *Configuration) { c.Limits.BodyBytes = 65 }, "limits  bodyBytes: the largest body of a request changes from 64 bytes to 65 bytes"},
		{"kind", func(c *Configuration) { c.Collections[0].Kinds[0].Timeout = 2000 }, "kind c/k timeout: the timeout changes from 1 s to 2 s"},
		{"snapshot", func(c *Configuration) { c.Collections[0].Snapshots[0].Partitions[0].Service = "s1" }, "collection c snapshots: snapshots added: 1 with s1 up to 9; removed: 1 with s0 up to 9"},
		{"upstream", func(c *Configuration) { c.Services[0].Upstreams = []Upstream{{Name: "u", Address: "a", Zone: "z"}} }, "service s0 upstreams: upstreams added: u at a in zone z"},
	}
	configuration := func() Configuration {
		c := soundConfiguration()
		c.Collections = []Collection{{Name: "c", Kinds: []Kind{{Name: "k", Timeout: Second}}, Snapshots: []Snapshot{{ID: 1, Partitions: []Partition{{Range: KeyRange{End: 9}, Service: "s0"}}}}}}
		return c
	}
	for _, tc := range cases {
		next := configuration()
		tc.change(&next)
		var texts []string
		for _, d := range CompareConfigurations(configuration(), next) {
			texts = append(texts, string(d.Place.Kind)+" "+d.Place.Name+" "+string(d.Place.Field)+": "+d.Text)
		}
		if got := strings.Join(texts, "|"); got != tc.want {
			t.Errorf("%s: %s", tc.name, got)
		}
	}
}
