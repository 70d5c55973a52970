package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/core"
)

const settingsText = `{
 "instance": "i", "zone": "z",
 "callerAddress": "127.0.0.1:1", "peerAddress": "127.0.0.1:2",
 "operatorAddress": "127.0.0.1:3", "platformAddress": "127.0.0.1:4",
 "peers": ["127.0.0.1:5"], "logLevel": "debug"
}`

func TestSettings(t *testing.T) {
	Convey("Settings are read, and absent fields get their defaults", t, func() {
		settings, err := DecodeSettings("s.json", []byte(settingsText))
		So(err, ShouldBeNil)
		So(settings.Drain, ShouldEqual, defaultDrainMillis)
		So(settings.ListenPeerAddress, ShouldEqual, "127.0.0.1:2")
		So(settings.MemoryBytes, ShouldEqual, 0)
		settings, err = DecodeSettings("s.json", []byte(strings.Replace(settingsText, `"peers"`, `"memoryMegabytes": 184, "peers"`, 1)))
		So(err, ShouldBeNil)
		So(settings.MemoryBytes, ShouldEqual, 184<<20)
		So(settings.Policy.EstimateCapacity, ShouldBeFalse)
		settings, err = DecodeSettings("s.json", []byte(strings.Replace(settingsText, `"peers"`, `"policy": {"estimateCapacity": true}, "peers"`, 1)))
		So(err, ShouldBeNil)
		So(settings.Policy, ShouldResemble, core.Policy{EstimateCapacity: true})
	})
	Convey("Evacuations are in force only where the settings of the routes interface say so", t, func() {
		routes := strings.Replace(settingsText, `"peers"`, `"interface": "routes", "readyAddress": "127.0.0.1:6",
			"repeats": {"ratio": 0.2, "slack": 50, "windowMillis": 10000}, "peers"`, 1)
		settings, err := DecodeSettings("s.json", []byte(routes))
		So(err, ShouldBeNil)
		So(settings.EvacuationDelay, ShouldEqual, 0)
		settings, err = DecodeSettings("s.json", []byte(strings.Replace(routes, `"peers"`, `"evacuationMillis": 5000, "peers"`, 1)))
		So(err, ShouldBeNil)
		So(settings.EvacuationDelay, ShouldEqual, 5*core.Second)
	})
	Convey("The bound for cold upstreams is in force only if both of its numbers are set", t, func() {
		decode := func(fields string) (Settings, error) {
			routes := `"interface": "routes", "readyAddress": "127.0.0.1:6", "repeats": {"ratio": 0.2, "slack": 5, "windowMillis": 9}, ` + fields + ` "peers"`
			return DecodeSettings("s.json", []byte(strings.Replace(settingsText, `"peers"`, routes, 1)))
		}
		for fields, want := range map[string]core.Option[core.ColdBound]{
			"":                                    core.None[core.ColdBound](),
			`"coldOverage": 1.5,`:                 core.None[core.ColdBound](),
			`"coldSlack": 5,`:                     core.None[core.ColdBound](),
			`"coldOverage": 1.5, "coldSlack": 5,`: core.Some(core.ColdBound{Overage: 1.5, Slack: 5}),
		} {
			settings, err := decode(fields)
			So(err, ShouldBeNil)
			So(settings.ColdBound, ShouldResemble, want)
		}
		_, err := decode(`"coldOverage": -1, "coldSlack": 5,`)
		So(errors.Is(err, ErrInvalidSettings), ShouldBeTrue)
	})
	cases := []struct{ name, old, new, want string }{
		{"an unknown field", `"zone"`, `"sone"`, "s.json:2: sone"},
		{"a host name", `127.0.0.1:4`, `platform:4`, "platformAddress: value \"platform:4\": must be an IP number"},
		{"an unknown level", `"debug"`, `"loud"`, `logLevel: value "loud": must be one of debug, error, info, warn`},
		{"no memory", `"peers"`, `"memoryMegabytes": 0, "peers"`, "memoryMegabytes: value 0: must be a whole number from 1"},
		{"a negative drain", `"peers"`, `"drainMillis": -1, "peers"`, "drainMillis: value -1: must be a whole number from 0"},
	}
	Convey("Invalid settings are refused", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				_, err := DecodeSettings("s.json", []byte(strings.Replace(settingsText, tc.old, tc.new, 1)))
				So(errors.Is(err, ErrInvalidSettings), ShouldBeTrue)
				So(err.Error(), ShouldContainSubstring, tc.want)
			})
		}
	})
}

func TestServer(t *testing.T) {
	Convey("Given a server of an instance", t, func() {
		counters := core.NewCounters()
		counters.Add(core.CountHedges, 3)
		metrics, err := NewMetrics(counters, Gauges{
			InFlight:             func() int { return 2 },
			ConfigurationVersion: func() uint64 { return 7 },
			PlatformAge:          func() core.Millis { return 5 },
			AlivePeers:           func() int { return 1 },
			ExtraLoadTokens:      func() float64 { return 10 },
			Callers:              func() core.ConnectionBudgetState { return core.ConnectionBudgetState{Bytes: 4096, Connections: 3} },
		})
		So(err, ShouldBeNil)
		metrics.Observe(core.Answer{Outcome: core.OutcomeAnswered, Elapsed: 12})
		var lines bytes.Buffer
		log, level, err := NewLog(&lines, "i", "info")
		So(err, ShouldBeNil)
		ready := false
		state := func() State {
			return State{
				Self:             core.PeerInfo{Name: "i", Zone: "z", Incarnation: 9},
				InForce:          core.InForce{Configuration: core.Configuration{Version: 7, Digest: "d"}, Source: "peer j"},
				HasConfiguration: true,
				Refusals:         []core.Refusal{{Reason: "because", Version: 8}},
				Upstreams: []core.ReplicaState{
					{Name: "u", Estimate: core.Some(core.EstimateState{LatencyMillis: 12, RisesAt: 4})},
					{Name: "v"},
				},
				Counters: counters,
			}
		}
		server := httptest.NewServer(New(state, func() bool { return ready }, metrics, level, log).Handler())
		defer server.Close()
		get := func(path string) (int, string) {
			response, err := http.Get(server.URL + path)
			So(err, ShouldBeNil)
			defer func() { _ = response.Body.Close() }()
			raw, _ := io.ReadAll(response.Body)
			return response.StatusCode, string(raw)
		}
		Convey("readiness depends on the instance's state, liveness does not", func() {
			status, _ := get(PathReady)
			So(status, ShouldEqual, 503)
			ready = true
			status, _ = get(PathReady)
			So(status, ShouldEqual, 200)
			status, _ = get(PathLive)
			So(status, ShouldEqual, 200)
		})
		Convey("the state is returned as JSON", func() {
			_, raw := get(PathState)
			var body StateBody
			So(json.Unmarshal([]byte(raw), &body), ShouldBeNil)
			So(body.Incarnation, ShouldEqual, 9)
			So(body.Counters["hedges"], ShouldEqual, 3)
			So(body.Upstreams[0].Estimate.ExpectedLatencyMillis, ShouldEqual, 12)
			So(body.Upstreams[0].Estimate.RisesAtRequests, ShouldEqual, 4)
			So(body.Upstreams[1].Estimate, ShouldBeNil)
		})
		Convey("the configuration is returned with its version, source and refusals", func() {
			_, raw := get(PathConfiguration)
			var body ConfigurationBody
			So(json.Unmarshal([]byte(raw), &body), ShouldBeNil)
			So(body.Version, ShouldEqual, 7)
			So(body.Source, ShouldEqual, "peer j")
			So(body.Refused[0].Reason, ShouldEqual, "because")
		})
		Convey("the metrics contain counters, gauges and latencies", func() {
			_, raw := get(PathMetrics)
			So(raw, ShouldContainSubstring, "acaciavane_hedges_total")
			So(raw, ShouldContainSubstring, "acaciavane_callerBytes")
			So(raw, ShouldContainSubstring, "acaciavane_configurationVersion")
			So(raw, ShouldContainSubstring, `outcome="answered"`)
		})
		Convey("the log level can be changed at runtime", func() {
			put := func(name string) int {
				request, _ := http.NewRequest(http.MethodPut, server.URL+PathLogLevel, strings.NewReader(name))
				response, err := http.DefaultClient.Do(request)
				So(err, ShouldBeNil)
				_ = response.Body.Close()
				return response.StatusCode
			}
			log.V(4).Info("quiet")
			So(put("debug"), ShouldEqual, 200)
			log.V(4).Info("loud")
			So(put("shout"), ShouldEqual, 400)
			So(lines.String(), ShouldNotContainSubstring, "quiet")
			So(lines.String(), ShouldContainSubstring, `"msg":"loud"`)
			So(lines.String(), ShouldContainSubstring, `"instance":"i"`)
		})
	})
}
