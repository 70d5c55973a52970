package peer

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"acaciavane/core"
	"acaciavane/io/peer/peerpb"
)

// Handler answers the calls of peers.
type Handler interface {
	// Receive handles the message of an exchange and returns the reply.
	Receive(message core.ExchangeMessage) core.ExchangeMessage
	// RunForwarded runs an order that a peer forwarded to the home of its ticket.
	RunForwarded(ctx context.Context, ticket core.Ticket, request core.Request) core.Answer
	// Mint returns a new ticket of this instance.
	Mint() core.Ticket
	// Adopt takes over the tickets of an instance that is stopping.
	Adopt(book core.BookCopy)
	// AnswerDelegated answers a routed request for a peer.
	AnswerDelegated(ctx context.Context, request core.DelegatedRequest) core.DelegatedAnswer
	// AnswerGroup gathers shards for a peer and calls report with each report. It returns
	// core.ErrGroupRefused only before it has sent a request to an upstream or a report.
	AnswerGroup(ctx context.Context, request core.GroupRequest, report func(core.GroupReport) error) error
	// GrantTokens answers a request for tokens.
	GrantTokens(request core.TokenRequest) core.TokenReply
	// Leaving reports whether the instance is stopping.
	Leaving() bool
}

// Server receives the calls of peers and passes them to a Handler.
type Server struct {
	peerpb.UnimplementedPeerServer
	clock    core.Clock
	handler  Handler
	counters *core.Counters
	log      logr.Logger
	received *intake
	grpc     *grpc.Server
}

// NewServer returns a server for the handler.
func NewServer(clock core.Clock, handler Handler, counters *core.Counters, log logr.Logger) *Server {
	s := &Server{clock: clock, handler: handler, counters: counters, log: log}
	s.received = newIntake(s.closedForMemory)
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ForceServerCodecV2(newBoundedCodec()),
		grpc.MaxHeaderListSize(core.MaxReplyHeadBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.StatsHandler(byteCounter{counters: counters}),
		grpc.UnaryInterceptor(s.recoverUnary),
		grpc.StreamInterceptor(s.recoverStream),
	)
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve serves calls on the listener until Stop is called.
func (s *Server) Serve(listener net.Listener) error {
	return s.grpc.Serve(prefaceListener{Listener: listener, reject: s.reject, intake: s.received})
}

// closedForMemory counts and logs a connection that was closed because its incomplete calls took too
// much memory.
func (s *Server) closedForMemory(conn net.Conn, held int64) {
	s.counters.Add(core.CountMalformedPeerMessages, 1)
	s.log.Info("connection closed: incomplete messages take too much memory", "from", conn.RemoteAddr().String(), "bytes", held)
}

// reject counts and logs a connection that did not start with the HTTP/2 preface.
func (s *Server) reject(from net.Addr) {
	s.counters.Add(core.CountMalformedPeerMessages, 1)
	s.log.Info("connection closed: it does not start with the HTTP/2 preface", "from", from.String())
}

// Stop accepts no more calls and returns when those in progress have ended. It cancels them
// when ctx ends.
func (s *Server) Stop(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.grpc.Stop()
	}
}

// Exchange implements peerpb.PeerServer.
func (s *Server) Exchange(_ context.Context, wire *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error) {
	message, err := fromExchange(wire)
	if err != nil {
		return nil, s.malformed(err)
	}
	return toExchange(s.handler.Receive(message)), nil
}

// ForwardOrder implements peerpb.PeerServer.
func (s *Server) ForwardOrder(ctx context.Context, wire *peerpb.OrderRequest) (*peerpb.OrderReply, error) {
	ticket, request, err := fromOrder(wire, s.clock.Now())
	if err != nil {
		return nil, s.malformed(err)
	}
	return toOrderReply(s.handler.RunForwarded(ctx, ticket, request)), nil
}

// MintTicket implements peerpb.PeerServer.
func (s *Server) MintTicket(context.Context, *peerpb.MintTicketRequest) (*peerpb.Ticket, error) {
	if s.handler.Leaving() {
		return nil, status.Error(codes.FailedPrecondition, "leaving")
	}
	return toTicket(s.handler.Mint()), nil
}

// TakeOver implements peerpb.PeerServer.
func (s *Server) TakeOver(_ context.Context, wire *peerpb.Book) (*peerpb.TakeOverReply, error) {
	if s.handler.Leaving() {
		return nil, status.Error(codes.FailedPrecondition, "leaving")
	}
	book, err := fromBook(wire)
	if err != nil {
		return nil, s.malformed(err)
	}
	s.handler.Adopt(book)
	return &peerpb.TakeOverReply{}, nil
}

// recoverUnary returns an error for a call that panics, so that the panic does not end the
// process. The error does not say what the call had done before the panic.
func (s *Server) recoverUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (reply any, err error) {
	defer s.recoverInto(info.FullMethod, &err)
	return next(ctx, request)
}

// recoverStream does the same for a call that returns a stream.
func (s *Server) recoverStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
	defer s.recoverInto(info.FullMethod, &err)
	return next(server, stream)
}

// recoverInto must be deferred. It recovers from a panic and sets the error.
func (s *Server) recoverInto(call string, err *error) {
	if cause := recover(); cause != nil {
		s.counters.Add(core.CountMalformedPeerMessages, 1)
		s.log.Error(fmt.Errorf("%v", cause), "call from a peer panicked", "call", call, "stack", string(debug.Stack()))
		*err = status.Error(codes.Internal, "unexpected error")
	}
}

// malformed counts and logs a malformed message and returns the error for its sender.
func (s *Server) malformed(err error) error {
	s.counters.Add(core.CountMalformedPeerMessages, 1)
	s.log.Error(err, "message from a peer rejected")
	return status.Error(codes.InvalidArgument, err.Error())
}

// byteCounter is a gRPC stats handler that counts the bytes of the messages sent to peers and
// received from them.
type byteCounter struct {
	counters *core.Counters
}

// TagRPC implements stats.Handler.
func (byteCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (byteCounter) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (b byteCounter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	switch payload := event.(type) {
	case *stats.InHeader:
		notifyReceived(ctx, payload)
	case *stats.InPayload:
		b.counters.Add(core.CountPeerBytes, payload.WireLength)
	case *stats.OutPayload:
		b.counters.Add(core.CountPeerBytes, payload.WireLength)
	}
}
