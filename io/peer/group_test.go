package peer

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"acaciavane/core"
	"acaciavane/io/peer/peerpb"
)

// newGroupRequest returns a valid request for a group of four shards.
func newGroupRequest() core.GroupRequest {
	return core.GroupRequest{
		DelegatedRequest: core.DelegatedRequest{
			Request: core.RoutedRequest{ID: "id", Message: core.Message{
				Method: "GET", Host: "h", Target: "/p/1?q", Fields: []core.Field{{Name: "A", Value: "b"}}, Body: []byte("body"),
			}},
			ConfigurationVersion: 7, Elapsed: 3, Remaining: 400,
		},
		Shards: []int{0, 7, 8, 179}, ReportAfter: 25,
	}
}

func TestGroups(t *testing.T) {
	reports := []core.GroupReport{
		{Shards: []int{0, 179}, Signatures: []string{"a", "b\xff"}, Records: []byte("0123456789abcdef")},
		{Failed: []int{7}, NotRun: []int{8}},
	}
	Convey("Given an instance that gathers shards for its peers", t, func() {
		f := newFixture()
		defer f.close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var got []core.GroupReport
		collect := func(report core.GroupReport) { got = append(got, report) }
		Convey("the request and its reports are transferred completely", func() {
			f.handler.reports = reports
			So(f.client.Gather(ctx, f.address, newGroupRequest(), collect), ShouldBeNil)
			So(f.handler.group, ShouldResemble, newGroupRequest())
			So(got, ShouldResemble, reports)
		})
		Convey("a group whose reports end before each shard is named has failed, and may have run", func() {
			f.handler.reports = reports[:1]
			err := f.client.Gather(ctx, f.address, newGroupRequest(), collect)
			So(errors.Is(err, errEndedEarly), ShouldBeTrue)
			So(errors.Is(err, core.ErrGroupRefused) || errors.Is(err, core.ErrNotDelivered), ShouldBeFalse)
		})
		Convey("a refused group is distinguished from one that fails or panics while it is gathered", func() {
			f.handler.groupErr = core.ErrGroupRefused
			So(errors.Is(f.client.Gather(ctx, f.address, newGroupRequest(), collect), core.ErrGroupRefused), ShouldBeTrue)
			f.handler.groupErr = errors.New("lost")
			err := f.client.Gather(ctx, f.address, newGroupRequest(), collect)
			So(errors.Is(err, core.ErrGroupRefused) || errors.Is(err, core.ErrNotDelivered), ShouldBeFalse)
			f.handler.panics = true
			err = f.client.Gather(ctx, f.address, newGroupRequest(), collect)
			So(errors.Is(err, core.ErrGroupRefused) || errors.Is(err, core.ErrNotDelivered), ShouldBeFalse)
		})
		Convey("a group for an instance that has stopped is reported as not delivered", func() {
			f.close()
			So(errors.Is(f.client.Gather(ctx, f.address, newGroupRequest(), collect), core.ErrNotDelivered), ShouldBeTrue)
		})
		Convey("a group without shards is rejected as malformed", func() {
			empty := newGroupRequest()
			empty.Shards = nil
			So(errors.Is(f.client.Gather(ctx, f.address, empty, collect), core.ErrNotDelivered), ShouldBeTrue)
		})
	})
	Convey("A report without shards, or with fewer signatures than shards, is malformed", t, func() {
		_, empty := fromGroupReport(&peerpb.GroupReport{Records: []byte("0123456789abcdef")})
		So(errors.Is(empty, ErrMalformed), ShouldBeTrue)
		_, err := fromGroupReport(&peerpb.GroupReport{Shards: []byte{3}, Signatures: [][]byte{[]byte("a")}})
		So(errors.Is(err, ErrMalformed), ShouldBeTrue)
	})
}

// TestMalformedReports guards against a group that counts as not delivered, so that its shards are asked
// again, although the peer has begun to gather it.
func TestMalformedReports(t *testing.T) {
	Convey("A group with a malformed report is not reported as undelivered", t, func() {
		f := newFixture()
		defer f.close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		f.handler.reports = []core.GroupReport{{Records: []byte("0123456789abcdef")}}
		for range 50 {
			err := f.client.Gather(ctx, f.address, newGroupRequest(), func(core.GroupReport) {})
			So(errors.Is(err, ErrMalformed), ShouldBeTrue)
			So(errors.Is(err, core.ErrNotDelivered), ShouldBeFalse)
		}
	})
}

func TestBitmapRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := core.NewSet(rapid.SliceOf(rapid.IntRange(0, maxGroupShards-1)).Draw(t, "positions")...)
		positions, err := fromBitmap(toBitmap(set.Sorted()))
		if err != nil || !slices.Equal(positions, set.Sorted()) {
			t.Errorf("got %v, %v", positions, err)
		}
	})
}

// FuzzGroups decodes arbitrary bytes as group requests and group reports.
func FuzzGroups(f *testing.F) {
	request, err := proto.Marshal(toGroupRequest(newGroupRequest()))
	if err != nil {
		f.Fatal(err)
	}
	report, err := proto.Marshal(toGroupReport(core.GroupReport{Shards: []int{1, 9}, Signatures: []string{"a", "b"}, Failed: []int{2}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(request)
	f.Add(report)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var wireRequest peerpb.GroupRequest
		if proto.Unmarshal(raw, &wireRequest) == nil {
			if decoded, err := fromGroupRequest(&wireRequest); err == nil && len(decoded.Shards) == 0 {
				t.Error("got a group without shards")
			}
		}
		var wireReport peerpb.GroupReport
		if proto.Unmarshal(raw, &wireReport) == nil {
			if decoded, err := fromGroupReport(&wireReport); err == nil && len(decoded.Shards) != len(decoded.Signatures) {
				t.Errorf("got %d shards and %d signatures", len(decoded.Shards), len(decoded.Signatures))
			}
		}
	})
}
