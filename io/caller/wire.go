package caller

import (
	"encoding/base64"
	"encoding/json"
	"errors"

	"acaciavane/core"
)

// Paths of the HTTP interface for callers.
const (
	PathQuery   = "/v1/query"
	PathTickets = "/v1/tickets"
	PathOrders  = "/v1/orders"
)

// errMalformedTicket means that the text of a ticket can't be decoded.
var errMalformedTicket = errors.New("malformed ticket")

// RequestBody is the body of a query or of an order.
type RequestBody struct {
	RequestID  string `json:"requestId,omitempty"`
	Collection string `json:"collection"`
	Kind       string `json:"kind"`
	// Key is required for fetches and orders.
	Key  string `json:"key,omitempty"`
	Body string `json:"body,omitempty"`
	// SchemaVersions are the schema versions of records that the caller can read;
	// empty means all.
	SchemaVersions []int `json:"schemaVersions,omitempty"`
	// TimeoutMillis is how long the caller waits. If it is zero, the timeout of the
	// kind applies.
	TimeoutMillis int64 `json:"timeoutMillis,omitempty"`
	// DeadlineUnixMillis is the time at which the caller stops waiting. The earlier
	// one of it and the timeout applies.
	DeadlineUnixMillis int64 `json:"deadlineUnixMillis,omitempty"`
	// Ticket is required for orders.
	Ticket string `json:"ticket,omitempty"`
}

// AnswerBody is the body of the response to a query or an order, and of every
// refusal.
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

// CoverageBody reports which part of the requested key space an answer covers.
type CoverageBody struct {
	Fraction   float64          `json:"fraction"`
	Covered    uint64           `json:"covered"`
	Total      uint64           `json:"total"`
	Missing    []RangeBody      `json:"missing,omitempty"`
	Unreadable []UnreadableBody `json:"unreadable,omitempty"`
}

// RangeBody is a half-open range of positions in the key space.
type RangeBody struct {
	Start uint64 `json:"start"`
	End   uint64 `json:"end"`
}

// UnreadableBody identifies a record whose schema version the caller can't read.
type UnreadableBody struct {
	Key           string `json:"key"`
	SchemaVersion int    `json:"schemaVersion"`
}

// RecordBody is one record of an answer.
type RecordBody struct {
	Key           string `json:"key"`
	SchemaVersion int    `json:"schemaVersion"`
	Value         string `json:"value"`
}

// TicketBody is the response to a request for a ticket.
type TicketBody struct {
	Ticket        string `json:"ticket"`
	Instance      string `json:"instance"`
	ExpiresMillis int64  `json:"expiresInMillis"`
}

// ticketJSON is the JSON form of a ticket, which callers receive in base64.
type ticketJSON struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Expires     int64  `json:"expires"`
	Nonce       []byte `json:"nonce"`
	Proof       []byte `json:"proof"`
}

// encodeTicket returns the text of a ticket: its JSON in unpadded URL-safe base64.
func encodeTicket(ticket core.Ticket) string {
	raw, err := json.Marshal(ticketJSON{
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

// decodeTicket is the inverse of encodeTicket. It does not verify the proof.
func decodeTicket(text string) (core.Ticket, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return core.Ticket{}, errMalformedTicket
	}
	var decoded ticketJSON
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return core.Ticket{}, errMalformedTicket
	}
	ticket := core.Ticket{
		Home:    core.Home{Instance: decoded.Instance, Incarnation: decoded.Incarnation},
		Address: decoded.Address,
		Expires: core.Millis(decoded.Expires),
	}
	if len(decoded.Nonce) != len(ticket.Nonce) || len(decoded.Proof) != len(ticket.Proof) || decoded.Address == "" {
		return core.Ticket{}, errMalformedTicket
	}
	copy(ticket.Nonce[:], decoded.Nonce)
	copy(ticket.Proof[:], decoded.Proof)
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
