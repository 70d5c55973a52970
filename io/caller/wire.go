package caller

import (
	"encoding/base64"
	"encoding/json"
	"errors"

	"acaciavane/core"
)

// Paths of the callers' interface.
const (
	PathQuery   = "/v1/query"
	PathTickets = "/v1/tickets"
	PathOrders  = "/v1/orders"
)

// errBadTicket means that a ticket's text is not one that an instance wrote.
var errBadTicket = errors.New("not a ticket")

// RequestBody is the body of a query or of an order.
type RequestBody struct {
	RequestID  string `json:"requestId,omitempty"`
	Collection string `json:"collection"`
	Kind       string `json:"kind"`
	// Key is required for fetches and orders.
	Key  string `json:"key,omitempty"`
	Body string `json:"body,omitempty"`
	// SchemaVersions are the record versions that the caller reads; empty means all.
	SchemaVersions []int `json:"schemaVersions,omitempty"`
	// TimeoutMillis is how long the caller waits; zero leaves it to the kind.
	TimeoutMillis int64 `json:"timeoutMillis,omitempty"`
	// DeadlineUnixMillis is the same as a point in time.
	DeadlineUnixMillis int64 `json:"deadlineUnixMillis,omitempty"`
	// Ticket is required for orders.
	Ticket string `json:"ticket,omitempty"`
}

// AnswerBody is the body of every answer and refusal.
type AnswerBody struct {
	RequestID            string        `json:"requestId"`
	Outcome              string        `json:"outcome"`
	Reason               string        `json:"reason,omitempty"`
	Detail               string        `json:"detail,omitempty"`
	Instance             string        `json:"instance"`
	ConfigurationVersion uint64        `json:"configurationVersion"`
	ElapsedMillis        int64         `json:"elapsedMillis"`
	Snapshot             uint64        `json:"snapshot,omitempty"`
	Coverage             *CoverageBody `json:"coverage,omitempty"`
	Sufficient           bool          `json:"sufficient"`
	Attempts             int           `json:"attempts"`
	Shards               int           `json:"shards"`
	Result               string        `json:"result,omitempty"`
	Records              []RecordBody  `json:"records,omitempty"`
}

// CoverageBody says which part of the key space an answer accounts for.
type CoverageBody struct {
	Fraction   float64          `json:"fraction"`
	Covered    uint64           `json:"covered"`
	Total      uint64           `json:"total"`
	Missing    []RangeBody      `json:"missing,omitempty"`
	Unreadable []UnreadableBody `json:"unreadable,omitempty"`
}

// RangeBody is a half-open range of positions.
type RangeBody struct {
	Start uint64 `json:"start"`
	End   uint64 `json:"end"`
}

// UnreadableBody names a record whose schema version the caller does not read.
type UnreadableBody struct {
	Key           string `json:"key"`
	SchemaVersion int    `json:"schemaVersion"`
}

// RecordBody is one record.
type RecordBody struct {
	Key           string `json:"key"`
	SchemaVersion int    `json:"schemaVersion"`
	Value         string `json:"value"`
}

// TicketBody is the answer to a request for a ticket.
type TicketBody struct {
	Ticket        string `json:"ticket"`
	Instance      string `json:"instance"`
	ExpiresMillis int64  `json:"expiresInMillis"`
}

// ticketWire is the form of a ticket within its text.
type ticketWire struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Expires     int64  `json:"expires"`
	Nonce       []byte `json:"nonce"`
	Proof       []byte `json:"proof"`
}

func encodeTicket(ticket core.Ticket) string {
	raw, err := json.Marshal(ticketWire{
		Instance:    ticket.Home.Instance,
		Incarnation: ticket.Home.Incarnation,
		Address:     ticket.Address,
		Expires:     int64(ticket.Expires),
		Nonce:       ticket.Nonce[:],
		Proof:       ticket.Proof[:],
	})
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

func decodeTicket(text string) (core.Ticket, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return core.Ticket{}, errBadTicket
	}
	var wire ticketWire
	if err := json.Unmarshal(raw, &wire); err != nil {
		return core.Ticket{}, errBadTicket
	}
	ticket := core.Ticket{
		Home:    core.Home{Instance: wire.Instance, Incarnation: wire.Incarnation},
		Address: wire.Address,
		Expires: core.Millis(wire.Expires),
	}
	if len(wire.Nonce) != len(ticket.Nonce) || len(wire.Proof) != len(ticket.Proof) || wire.Address == "" {
		return core.Ticket{}, errBadTicket
	}
	copy(ticket.Nonce[:], wire.Nonce)
	copy(ticket.Proof[:], wire.Proof)
	return ticket, nil
}

func toAnswerBody(answer core.Answer) AnswerBody {
	body := AnswerBody{
		RequestID:            answer.RequestID,
		Outcome:              string(answer.Outcome),
		Reason:               string(answer.Reason),
		Detail:               answer.Detail,
		Instance:             answer.Instance,
		ConfigurationVersion: answer.ConfigurationVersion,
		ElapsedMillis:        int64(answer.Elapsed),
		Snapshot:             answer.Snapshot,
		Sufficient:           answer.Sufficient,
		Attempts:             answer.Attempts,
		Shards:               answer.Shards,
		Result:               answer.Result,
	}
	if answer.Coverage.Total > 0 {
		body.Coverage = toCoverageBody(answer.Coverage)
	}
	for _, record := range answer.Records {
		body.Records = append(body.Records, RecordBody{
			Key: record.Key, SchemaVersion: record.SchemaVersion, Value: record.Value,
		})
	}
	return body
}

func toCoverageBody(coverage core.Coverage) *CoverageBody {
	body := &CoverageBody{
		Fraction: coverage.Fraction(),
		Covered:  coverage.Covered,
		Total:    coverage.Total,
	}
	for _, r := range coverage.Missing {
		body.Missing = append(body.Missing, RangeBody{Start: r.Start, End: r.End})
	}
	for _, record := range coverage.Unreadable {
		body.Unreadable = append(body.Unreadable, UnreadableBody{
			Key: record.Key, SchemaVersion: record.SchemaVersion,
		})
	}
	return body
}
