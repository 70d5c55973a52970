// Package caller implements the HTTP interface for callers: the server of an
// instance and the client that the command line uses.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-logr/logr"

	"acaciavane/core"
)

// maxEnvelopeBytes is how many bytes a request may have beyond core.MaxBodyBytes,
// for the other fields, such as names and identifiers.
const maxEnvelopeBytes = 16 << 10

// bodyCopies is how often a request is held: as it was received, and decoded.
const bodyCopies = 2

// Service runs the requests of callers.
type Service interface {
	Query(ctx context.Context, request core.Request) core.Answer
	Order(ctx context.Context, ticket core.Ticket, request core.Request) core.Answer
	MintTicket(ctx context.Context) core.Ticket
	// Ready reports whether the instance serves requests.
	Ready() bool
}

// Server serves the requests of callers over HTTP.
type Server struct {
	clock    core.Clock
	instance string
	service  Service
	counters *core.Counters
	observe  func(core.Answer)
	newID    func() string
	log      logr.Logger
}

// New returns a server that passes each answer to observe and takes the identifiers
// of requests that have none from newID.
func New(clock core.Clock, instance string, service Service, counters *core.Counters, observe func(core.Answer), newID func() string, log logr.Logger) *Server {
	return &Server{
		clock:    clock,
		instance: instance,
		service:  service,
		counters: counters,
		observe:  observe,
		newID:    newID,
		log:      log,
	}
}

// Handler returns the HTTP handler of the interface for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathQuery, s.serveQuery)
	mux.HandleFunc("POST "+PathOrders, s.serveOrder)
	mux.HandleFunc("POST "+PathTickets, s.serveTicket)
	return mux
}

func (s *Server) serveQuery(w http.ResponseWriter, r *http.Request) {
	request, _, refused := s.read(w, r)
	if answer, ok := refused.Get(); ok {
		s.reply(r.Context(), w, answer)
		return
	}
	s.reply(r.Context(), w, s.service.Query(r.Context(), request))
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	request, ticketText, refused := s.read(w, r)
	if answer, ok := refused.Get(); ok {
		s.reply(r.Context(), w, s.unknownIfNotReady(answer))
		return
	}
	ticket, err := decodeTicket(ticketText)
	if err != nil {
		s.reply(r.Context(), w, s.refuse(request.ID, core.ReasonTicketInvalid, "an order needs a ticket from "+PathTickets))
		return
	}
	s.reply(r.Context(), w, s.service.Order(r.Context(), ticket, request))
}

// unknownIfNotReady turns the refusal of an order by an instance that is not ready, or
// could not read it for lack of memory, into an unknown outcome, because the instance does
// not know whether the order was sent before and ran elsewhere. It returns other refusals
// unchanged.
func (s *Server) unknownIfNotReady(refused core.Answer) core.Answer {
	if refused.Reason != core.ReasonNotReady && refused.Reason != core.ReasonNoMemory {
		return refused
	}
	unknown := core.Unknown(refused.RequestID, refused.Reason, refused.Detail)
	unknown.Instance = s.instance
	return unknown
}

func (s *Server) serveTicket(w http.ResponseWriter, r *http.Request) {
	markExecuting(r.Context())
	if !s.service.Ready() {
		s.reply(r.Context(), w, s.refuse("", core.ReasonNotReady, "the instance is not ready"))
		return
	}
	ticket := s.service.MintTicket(r.Context())
	s.writeJSON(w, http.StatusOK, TicketBody{
		Ticket:        encodeTicket(ticket),
		Instance:      ticket.Home.Instance,
		ExpiresMillis: int64(core.TicketTTLMillis),
	})
}

// read decodes a request and the text of its ticket, or returns the answer that
// refuses the request.
func (s *Server) read(w http.ResponseWriter, r *http.Request) (core.Request, string, core.Option[core.Answer]) {
	arrived := s.clock.Now()
	refuse := func(id string, reason core.Reason, detail string) (core.Request, string, core.Option[core.Answer]) {
		s.counters.Add(core.CountMalformedRequests, 1)
		return core.Request{}, "", core.Some(s.refuse(id, reason, detail))
	}
	raw, err := ReadBody(r, core.MaxBodyBytes+maxEnvelopeBytes, bodyCopies)
	switch {
	case errors.Is(err, core.ErrBudgetExhausted):
		s.counters.Add(core.CountCallersRefused, 1)
		CloseUnread(w)
		return core.Request{}, "", core.Some(s.refuse("", core.ReasonNoMemory, "the memory for requests is exhausted"))
	case errors.As(err, new(*http.MaxBytesError)):
		return refuse("", core.ReasonTooLarge, fmt.Sprintf("a request may have %d bytes", core.MaxBodyBytes))
	case err != nil:
		return refuse("", core.ReasonMalformed, "the request could not be read")
	}
	body, err := decodeBody(raw)
	if err != nil {
		return refuse("", core.ReasonMalformed, err.Error())
	}
	if len(body.RequestID) > core.MaxRequestIDBytes {
		return refuse("", core.ReasonTooLarge, fmt.Sprintf("requestId may have %d bytes", core.MaxRequestIDBytes))
	}
	if body.TimeoutMillis < 0 {
		return refuse(body.RequestID, core.ReasonDeadlinePassed, "timeoutMillis is negative")
	}
	if !s.service.Ready() {
		return core.Request{}, "", core.Some(s.refuse(body.RequestID, core.ReasonNotReady, "the instance is not ready"))
	}
	return s.toRequest(body, arrived), body.Ticket, core.None[core.Answer]()
}

// decodeBody decodes exactly one JSON value and refuses unknown fields.
func decodeBody(raw []byte) (RequestBody, error) {
	var body RequestBody
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return RequestBody{}, fmt.Errorf("decode request: %w", err)
	}
	if decoder.More() {
		return RequestBody{}, errors.New("decode request: more than one value")
	}
	return body, nil
}

// toRequest converts a body to a request. It assigns an identifier if the caller
// gave none, and uses the earlier one of timeout and deadline.
func (s *Server) toRequest(body RequestBody, arrived core.Millis) core.Request {
	request := core.Request{
		ID:             body.RequestID,
		Collection:     body.Collection,
		Kind:           body.Kind,
		Key:            body.Key,
		Body:           body.Body,
		SchemaVersions: core.NewSet(body.SchemaVersions...),
		Deadline:       core.Millis(body.DeadlineUnixMillis),
		Arrived:        arrived,
	}
	if request.ID == "" {
		request.ID = s.newID()
	}
	if body.TimeoutMillis > 0 {
		deadline := arrived + core.Millis(body.TimeoutMillis)
		if request.Deadline == 0 || deadline < request.Deadline {
			request.Deadline = deadline
		}
	}
	return request
}

// refuse returns and counts an answer which says that the request was not run.
func (s *Server) refuse(id string, reason core.Reason, detail string) core.Answer {
	if id == "" {
		id = s.newID()
	}
	answer := core.Refuse(id, reason, detail)
	answer.Instance = s.instance
	s.counters.Add(core.CountRefused, 1)
	return answer
}

// reply logs the answer, passes it to observe and sends it.
func (s *Server) reply(ctx context.Context, w http.ResponseWriter, answer core.Answer) {
	if size := answerCopies * recordBytes(answer); !HoldAnswer(ctx, size) {
		s.counters.Add(core.CountAnswersDropped, 1)
		answer = s.withoutRecords(answer)
	}
	s.observe(answer)
	s.logAnswer(answer)
	w.Header().Set("Acaciavane-Request-Id", headerValue(answer.RequestID))
	w.Header().Set("Acaciavane-Outcome", string(answer.Outcome))
	if answer.Outcome == core.OutcomeNotRun && answer.Reason == core.ReasonNoMemory {
		w.Header().Set("Retry-After", RetryAfter())
	}
	s.writeJSON(w, statusOf(answer), toAnswerBody(answer))
}

// answerCopies is how often an answer is held: decoded, and as it is sent.
const answerCopies = 2

// recordBytes returns the approximate size of an answer, without what all answers have.
func recordBytes(answer core.Answer) int {
	total := len(answer.Result)
	for _, record := range answer.Records {
		total += len(record.Key) + len(record.Value) + recordEnvelopeBytes
	}
	return total
}

// recordEnvelopeBytes is what the names of the fields of a record take in an answer.
const recordEnvelopeBytes = 64

// withoutRecords returns the answer to a request that ran, but whose own answer can't be held
// until its caller has read it.
func (s *Server) withoutRecords(answer core.Answer) core.Answer {
	unknown := core.Unknown(answer.RequestID, core.ReasonNoMemory, "the memory for answers is exhausted")
	unknown.Instance, unknown.ConfigurationVersion, unknown.Elapsed = answer.Instance, answer.ConfigurationVersion, answer.Elapsed
	return unknown
}

// headerValue replaces characters that are not allowed in a header value with '?'.
func headerValue(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, text)
}

// logAnswer logs answered requests at the verbose level and all others at level 0.
func (s *Server) logAnswer(answer core.Answer) {
	const verbose = 1
	level := 0
	if answer.Outcome == core.OutcomeAnswered {
		level = verbose
	}
	s.log.V(level).Info("request ended",
		"requestId", answer.RequestID, "outcome", answer.Outcome, "reason", answer.Reason,
		"detail", answer.Detail, "coverage", answer.Coverage.Fraction(), "elapsedMillis", answer.Elapsed)
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		s.log.Error(err, "encode answer")
		http.Error(w, "encode answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// statusOf returns the HTTP status of an answer: 200 for a complete one, 206 for
// one with less than full coverage, 504 for an unknown outcome after a timeout,
// and 502 for any other unknown outcome. statusOfRefusal has the rest.
func statusOf(answer core.Answer) int {
	switch answer.Outcome {
	case core.OutcomeAnswered:
		if answer.Coverage.Total > 0 && !answer.Coverage.IsComplete() {
			return http.StatusPartialContent
		}
		return http.StatusOK
	case core.OutcomeUnknown:
		if answer.Reason == core.ReasonTimeout {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	return statusOfRefusal(answer.Reason)
}

func statusOfRefusal(reason core.Reason) int {
	switch reason {
	case core.ReasonMalformed, core.ReasonWrongMode, core.ReasonTicketInvalid, core.ReasonDeadlinePassed:
		return http.StatusBadRequest
	case core.ReasonUnknownCollection, core.ReasonUnknownKind:
		return http.StatusNotFound
	case core.ReasonDuplicateID, core.ReasonTicketReused:
		return http.StatusConflict
	case core.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case core.ReasonCrashesUpstreams:
		return http.StatusUnprocessableEntity
	case core.ReasonOverloaded, core.ReasonUpstreamRefused:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
