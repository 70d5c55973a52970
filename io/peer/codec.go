package peer

import (
	"errors"
	"math"
	"slices"

	"acaciavane/core"
	"acaciavane/io/peer/peerpb"
)

// ErrMalformed means that a message from a peer lacks a required field or has an invalid one.
var ErrMalformed = errors.New("malformed message of a peer")

// maxNameBytes is how long a name, an address or a digest may be. Facts and instances are kept for
// minutes, many of them.
const maxNameBytes = 1 << 10

// areNames reports whether none of the texts is too long for a name.
func areNames(texts ...string) bool {
	return !slices.ContainsFunc(texts, func(text string) bool { return len(text) > maxNameBytes })
}

// The functions of this file convert between the types of package core and the protobuf
// messages: toX returns a message, and fromX reads and checks one.

func toExchange(message core.ExchangeMessage) *peerpb.ExchangeMessage {
	wire := &peerpb.ExchangeMessage{
		From:                 toInstance(message.From),
		ConfigurationVersion: message.ConfigurationVersion,
		ConfigurationDigest:  message.ConfigurationDigest,
		Configuration:        message.Configuration,
		ListRevision:         uint64(message.ListRevision),
		InstanceList:         message.InstanceList,
		PlatformAgeMillis:    int64(message.PlatformAge),
		Joining:              message.Joining,
		Sequence:             message.Sequence,
		SeenIncarnation:      message.SeenIncarnation,
		SeenSequence:         message.SeenSequence,
		Wants:                message.Wants,
		WantsList:            message.WantsList,
	}
	for _, known := range message.Known {
		wire.Known = append(wire.Known, &peerpb.KnownInstance{
			Instance: toInstance(known.Info), AgeMillis: int64(known.Age)})
	}
	for _, fact := range message.Facts {
		wire.Facts = append(wire.Facts, toFact(fact))
	}
	return wire
}

// fromExchange leaves out facts and known instances whose names are too long.
func fromExchange(wire *peerpb.ExchangeMessage) (core.ExchangeMessage, error) {
	message := core.ExchangeMessage{
		From:                 fromInstance(wire.GetFrom()),
		ConfigurationVersion: wire.GetConfigurationVersion(),
		ConfigurationDigest:  wire.GetConfigurationDigest(),
		Configuration:        wire.GetConfiguration(),
		ListRevision:         core.Revision(wire.GetListRevision()),
		InstanceList:         wire.GetInstanceList(),
		PlatformAge:          max(0, core.Millis(wire.GetPlatformAgeMillis())),
		Joining:              wire.GetJoining(),
		Sequence:             wire.GetSequence(),
		SeenIncarnation:      wire.GetSeenIncarnation(),
		SeenSequence:         wire.GetSeenSequence(),
		Wants:                wire.GetWants(),
		WantsList:            wire.GetWantsList(),
	}
	for _, known := range wire.GetKnown() {
		if !hasNames(known.GetInstance()) {
			continue
		}
		message.Known = append(message.Known, core.KnownPeer{
			Info: fromInstance(known.GetInstance()), Age: max(0, core.Millis(known.GetAgeMillis()))})
	}
	if message.From.Name == "" || message.From.Address == "" || message.From.Incarnation == 0 ||
		!hasNames(wire.GetFrom()) || !areNames(message.ConfigurationDigest) {
		return core.ExchangeMessage{}, ErrMalformed
	}
	for _, fact := range wire.GetFacts() {
		if !isLimit(fact.GetLimitPerSecond()) {
			return core.ExchangeMessage{}, ErrMalformed
		}
		if areNames(fact.GetKind(), fact.GetSubject(), fact.GetVerdict(), fact.GetAddress()) {
			message.Facts = append(message.Facts, fromFact(fact))
		}
	}
	return message, nil
}

func toInstance(info core.PeerInfo) *peerpb.Instance {
	return &peerpb.Instance{
		Name:        info.Name,
		Zone:        info.Zone,
		Address:     info.Address,
		Incarnation: info.Incarnation,
		Leaving:     info.Leaving,
		Capacity:    uint32(info.Capacity),
	}
}

func fromInstance(wire *peerpb.Instance) core.PeerInfo {
	return core.PeerInfo{
		Name:        wire.GetName(),
		Zone:        wire.GetZone(),
		Address:     wire.GetAddress(),
		Incarnation: wire.GetIncarnation(),
		Leaving:     wire.GetLeaving(),
		Capacity:    int(wire.GetCapacity()),
	}
}

// hasNames reports whether no name of the instance is too long.
func hasNames(wire *peerpb.Instance) bool {
	return areNames(wire.GetName(), wire.GetZone(), wire.GetAddress())
}

// toFact returns the message for a fact. That of a FactUpstreamCold has the remaining time in
// milliseconds in the field for crashes, which such a fact does not use.
func toFact(fact core.Fact) *peerpb.Fact {
	wire := &peerpb.Fact{
		Kind:      string(fact.Kind),
		Subject:   fact.Subject,
		Stamp:     fact.Stamp,
		Verdict:   string(fact.Verdict),
		Crashes:   uint32(fact.Crashes),
		Address:   fact.Address,
		AgeMillis: int64(fact.Age),

		Incarnation:    fact.Incarnation,
		Limited:        fact.Limited,
		LimitPerSecond: fact.LimitPerSecond,
	}
	if fact.Kind == core.FactUpstreamCold {
		wire.Crashes = uint32(min(max(0, fact.ColdRemaining), math.MaxUint32))
	}
	return wire
}

func fromFact(wire *peerpb.Fact) core.Fact {
	fact := core.Fact{
		Kind:    core.FactKind(wire.GetKind()),
		Subject: wire.GetSubject(),
		Stamp:   wire.GetStamp(),
		Verdict: core.Verdict(wire.GetVerdict()),
		Crashes: int(wire.GetCrashes()),
		Address: wire.GetAddress(),
		Age:     max(0, core.Millis(wire.GetAgeMillis())),

		Incarnation:    wire.GetIncarnation(),
		Limited:        wire.GetLimited(),
		LimitPerSecond: wire.GetLimitPerSecond(),
	}
	if fact.Kind == core.FactUpstreamCold {
		fact.ColdRemaining, fact.Crashes = core.Millis(fact.Crashes), 0
	}
	return fact
}

func toHome(home core.Home) *peerpb.Home {
	return &peerpb.Home{Instance: home.Instance, Incarnation: home.Incarnation}
}

func fromHome(wire *peerpb.Home) core.Home {
	return core.Home{Instance: wire.GetInstance(), Incarnation: wire.GetIncarnation()}
}

func toTicket(ticket core.Ticket) *peerpb.Ticket {
	return &peerpb.Ticket{
		Home:          toHome(ticket.Home),
		Address:       ticket.Address,
		ExpiresMillis: int64(ticket.Expires),
		Nonce:         ticket.Nonce[:],
		Proof:         ticket.Proof[:],
	}
}

func fromTicket(wire *peerpb.Ticket) (core.Ticket, error) {
	ticket := core.Ticket{
		Home:    fromHome(wire.GetHome()),
		Address: wire.GetAddress(),
		Expires: core.Millis(wire.GetExpiresMillis()),
	}
	if len(wire.GetNonce()) != len(ticket.Nonce) || len(wire.GetProof()) != len(ticket.Proof) {
		return core.Ticket{}, ErrMalformed
	}
	copy(ticket.Nonce[:], wire.GetNonce())
	copy(ticket.Proof[:], wire.GetProof())
	return ticket, nil
}

func toOrder(ticket core.Ticket, request core.Request, timeout core.Millis) *peerpb.OrderRequest {
	return &peerpb.OrderRequest{
		Ticket:        toTicket(ticket),
		RequestId:     request.ID,
		Collection:    request.Collection,
		Kind:          request.Kind,
		Key:           request.Key,
		Body:          request.Body,
		TimeoutMillis: int64(timeout),
	}
}

func fromOrder(wire *peerpb.OrderRequest, now core.Millis) (core.Ticket, core.Request, error) {
	ticket, err := fromTicket(wire.GetTicket())
	if err != nil {
		return core.Ticket{}, core.Request{}, err
	}
	request := core.Request{
		ID:         wire.GetRequestId(),
		Collection: wire.GetCollection(),
		Kind:       wire.GetKind(),
		Key:        wire.GetKey(),
		Body:       wire.GetBody(),
		Arrived:    now,
	}
	if timeout := wire.GetTimeoutMillis(); timeout != 0 {
		request.Deadline = now + core.Millis(timeout)
	}
	return ticket, request, nil
}

func toOrderReply(answer core.Answer) *peerpb.OrderReply {
	return &peerpb.OrderReply{
		Outcome:              string(answer.Outcome),
		Reason:               string(answer.Reason),
		Detail:               answer.Detail,
		ConfigurationVersion: answer.ConfigurationVersion,
		Result:               answer.Result,
		Attempts:             uint32(answer.Attempts),
		Shards:               uint32(answer.Shards),
	}
}

func fromOrderReply(wire *peerpb.OrderReply) (core.Answer, error) {
	answer := core.Answer{
		Outcome:              core.Outcome(wire.GetOutcome()),
		Reason:               core.Reason(wire.GetReason()),
		Detail:               wire.GetDetail(),
		ConfigurationVersion: wire.GetConfigurationVersion(),
		Result:               wire.GetResult(),
		Attempts:             int(wire.GetAttempts()),
		Shards:               int(wire.GetShards()),
	}
	switch answer.Outcome {
	case core.OutcomeAnswered:
		answer.Sufficient = true
		return answer, nil
	case core.OutcomeNotRun, core.OutcomeUnknown:
		return answer, nil
	}
	return core.Answer{}, ErrMalformed
}

func toBook(book core.BookCopy) *peerpb.Book {
	wire := &peerpb.Book{Home: toHome(book.Home), Secret: book.Secret}
	for _, run := range book.Runs {
		wire.Runs = append(wire.Runs, &peerpb.Run{
			Nonce:         run.Nonce[:],
			Fingerprint:   run.Fingerprint,
			ExpiresMillis: int64(run.Expires),
			Answer:        toOrderReply(run.Answer),
		})
	}
	return wire
}

func fromBook(wire *peerpb.Book) (core.BookCopy, error) {
	book := core.BookCopy{Home: fromHome(wire.GetHome()), Secret: wire.GetSecret()}
	if len(book.Secret) == 0 || book.Home.Incarnation == 0 {
		return core.BookCopy{}, ErrMalformed
	}
	for _, run := range wire.GetRuns() {
		answer, err := fromOrderReply(run.GetAnswer())
		if err != nil {
			return core.BookCopy{}, err
		}
		runCopy := core.RunCopy{
			Fingerprint: run.GetFingerprint(),
			Expires:     core.Millis(run.GetExpiresMillis()),
			Answer:      answer,
		}
		if len(run.GetNonce()) != len(runCopy.Nonce) {
			return core.BookCopy{}, ErrMalformed
		}
		copy(runCopy.Nonce[:], run.GetNonce())
		book.Runs = append(book.Runs, runCopy)
	}
	return book, nil
}
