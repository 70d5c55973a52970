// Package operator is the interface of a process to its operators: its settings, its log,
// and an HTTP server with health checks, metrics, state, profiles and the log level.
package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/go-logr/logr"
)

// Paths of the operator interface.
const (
	PathLive          = "/livez"
	PathReady         = "/readyz"
	PathMetrics       = "/metrics"
	PathState         = "/v1/state"
	PathConfiguration = "/v1/configuration"
	PathLogLevel      = "/v1/log-level"
	PathProfiles      = "/debug/pprof/"
)

// maxLevelBytes is the size limit of the name of a log level in a request body.
const maxLevelBytes = 64

// Server serves the operator interface.
type Server struct {
	state   func() State
	ready   func() bool
	metrics *Metrics
	level   *LogLevel
	log     logr.Logger
}

// New returns a server. It calls state and ready to read the state and the readiness of
// the instance.
func New(state func() State, ready func() bool, metrics *Metrics, level *LogLevel, log logr.Logger) *Server {
	return &Server{state: state, ready: ready, metrics: metrics, level: level, log: log}
}

// Handler returns the HTTP handler of the operator interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathLive, s.serveLive)
	mux.HandleFunc("GET "+PathReady, s.serveReady)
	mux.HandleFunc("GET "+PathState, s.serveState)
	mux.HandleFunc("GET "+PathConfiguration, s.serveConfiguration)
	mux.HandleFunc("PUT "+PathLogLevel, s.serveLogLevel)
	mux.HandleFunc("GET "+PathProfiles, pprof.Index)
	mux.HandleFunc("GET "+PathProfiles+"profile", pprof.Profile)
	mux.Handle("GET "+PathMetrics, s.metrics.Handler())
	return mux
}

func (s *Server) serveLive(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "live\n")
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, toStateBody(s.state()))
}

func (s *Server) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, toConfigurationBody(s.state()))
}

// serveLogLevel sets the log level to the one named in the request body.
func (s *Server) serveLogLevel(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxLevelBytes))
	if err != nil {
		http.Error(w, "read level", http.StatusBadRequest)
		return
	}
	name := strings.TrimSpace(string(raw))
	if err := s.level.Set(name); err != nil {
		http.Error(w, "must be one of "+strings.Join(levelNames(), ", "), http.StatusBadRequest)
		return
	}
	s.log.Info("log level changed", "level", name)
}

func (s *Server) writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(body); err != nil {
		s.log.Error(err, "encode state")
	}
}
