package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/bits"
	"slices"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"acaciavane/core"
	"acaciavane/io/peer/peerpb"
)

// maxGroupShards bounds the positions of the shards of a group. It is more than the number of
// shards that a published configuration has room for.
const maxGroupShards = 1 << 16

// Gather implements core.GroupClient.
func (c *Client) Gather(ctx context.Context, address string, request core.GroupRequest, handle func(core.GroupReport)) error {
	peer, err := c.stub(address)
	if err != nil {
		return fmt.Errorf("%w: %w", core.ErrNotDelivered, err)
	}
	// gRPC sets the address only if the call was assigned to a connection.
	var reached grpcpeer.Peer
	err = gather(ctx, peer, request, handle, grpc.Peer(&reached))
	switch {
	case err == nil:
		return nil
	case status.Code(err) == codes.FailedPrecondition:
		return fmt.Errorf("%w: %w", core.ErrGroupRefused, err)
	case reached.Addr == nil || refusedCall(err):
		return fmt.Errorf("%w: gather at %s: %w", core.ErrNotDelivered, address, err)
	}
	return fmt.Errorf("gather at %s: %w", address, err)
}

// errEndedEarly means that the reports of a group ended before each of its shards was named.
var errEndedEarly = errors.New("reports ended early")

// gather sends the request and calls handle with each report until the stream ends. gRPC may report the
// end of a stream whose connection broke like that of a complete one, so the shards are counted.
func gather(ctx context.Context, peer peerpb.PeerClient, request core.GroupRequest, handle func(core.GroupReport), options ...grpc.CallOption) error {
	// Cancelling ends the call also when this function returns before the end of the stream.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := peer.Gather(ctx, toGroupRequest(request), options...)
	if err != nil {
		return err
	}
	unreported := core.NewSet(request.Shards...)
	for {
		wire, err := stream.Recv()
		if errors.Is(err, io.EOF) && len(unreported) > 0 {
			return fmt.Errorf("%w: %d shards are missing", errEndedEarly, len(unreported))
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		report, err := fromGroupReport(wire)
		if err != nil {
			cancel()
			awaitEnd(stream)
			return err
		}
		for _, shard := range slices.Concat(report.Shards, report.Failed, report.NotRun) {
			delete(unreported, shard)
		}
		handle(report)
	}
}

// awaitEnd reads a stream that was cancelled to its end. Only then has gRPC set what its call options
// return.
func awaitEnd(stream grpc.ServerStreamingClient[peerpb.GroupReport]) {
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
	}
}

// Gather implements peerpb.PeerServer.
func (s *Server) Gather(wire *peerpb.GroupRequest, stream grpc.ServerStreamingServer[peerpb.GroupReport]) error {
	request, err := fromGroupRequest(wire)
	if err != nil {
		return s.malformed(err)
	}
	err = s.handler.AnswerGroup(stream.Context(), request, func(report core.GroupReport) error {
		return stream.Send(toGroupReport(report))
	})
	if errors.Is(err, core.ErrGroupRefused) {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return err
}

func toGroupRequest(request core.GroupRequest) *peerpb.GroupRequest {
	return &peerpb.GroupRequest{
		Request:           toRoutedRequest(request.DelegatedRequest),
		Shards:            toBitmap(request.Shards),
		ReportAfterMillis: int64(request.ReportAfter),
	}
}

func fromGroupRequest(wire *peerpb.GroupRequest) (core.GroupRequest, error) {
	delegated, err := fromRoutedRequest(wire.GetRequest())
	if err != nil {
		return core.GroupRequest{}, err
	}
	shards, err := fromBitmap(wire.GetShards())
	if err != nil {
		return core.GroupRequest{}, err
	}
	if len(shards) == 0 || wire.GetReportAfterMillis() < 0 {
		return core.GroupRequest{}, ErrMalformed
	}
	return core.GroupRequest{
		DelegatedRequest: delegated,
		Shards:           shards,
		ReportAfter:      core.Millis(wire.GetReportAfterMillis()),
	}, nil
}

func toGroupReport(report core.GroupReport) *peerpb.GroupReport {
	wire := &peerpb.GroupReport{
		Shards:  toBitmap(report.Shards),
		Records: report.Records,
		Failed:  toBitmap(report.Failed),
		NotRun:  toBitmap(report.NotRun),
	}
	for _, signature := range report.Signatures {
		wire.Signatures = append(wire.Signatures, []byte(signature))
	}
	return wire
}

func fromGroupReport(wire *peerpb.GroupReport) (core.GroupReport, error) {
	var report core.GroupReport
	for _, field := range []struct {
		bitmap    []byte
		positions *[]int
	}{{wire.GetShards(), &report.Shards}, {wire.GetFailed(), &report.Failed}, {wire.GetNotRun(), &report.NotRun}} {
		positions, err := fromBitmap(field.bitmap)
		if err != nil {
			return core.GroupReport{}, err
		}
		*field.positions = positions
	}
	count := len(report.Shards) + len(report.Failed) + len(report.NotRun)
	if count == 0 || len(wire.GetSignatures()) != len(report.Shards) {
		return core.GroupReport{}, ErrMalformed
	}
	for _, signature := range wire.GetSignatures() {
		report.Signatures = append(report.Signatures, string(signature))
	}
	report.Records = wire.GetRecords()
	return report, nil
}

// toBitmap returns a bitmap in which the bits at the positions are set, the lowest bit of a
// byte first. The positions must be ascending.
func toBitmap(positions []int) []byte {
	if len(positions) == 0 {
		return nil
	}
	bitmap := make([]byte, positions[len(positions)-1]/8+1)
	for _, position := range positions {
		bitmap[position/8] |= 1 << (position % 8)
	}
	return bitmap
}

// fromBitmap returns the positions of the bits that are set in the bitmap, ascending.
func fromBitmap(bitmap []byte) ([]int, error) {
	if len(bitmap) > maxGroupShards/8 {
		return nil, ErrMalformed
	}
	var positions []int
	for i, octet := range bitmap {
		for ; octet != 0; octet &= octet - 1 {
			positions = append(positions, 8*i+bits.TrailingZeros8(octet))
		}
	}
	return positions, nil
}
