package configservice

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"acaciavane/core"
	"acaciavane/io/jsondoc"
)

// ErrInvalidDocument means that a document is invalid and can't be applied.
var ErrInvalidDocument = errors.New("invalid document")

// Decoder decodes the documents that operators publish.
type Decoder struct{}

// NewDecoder returns a decoder.
func NewDecoder() Decoder {
	return Decoder{}
}

// Configuration implements core.Decoder.
func (d Decoder) Configuration(raw []byte) (core.Configuration, error) {
	return d.ConfigurationFile("configuration", raw)
}

// ConfigurationFile decodes a configuration. Its errors contain the given file name.
func (Decoder) ConfigurationFile(file string, raw []byte) (core.Configuration, error) {
	if len(raw) > core.MaxPublishedBytes {
		return core.Configuration{}, fmt.Errorf("%w: %s: %d bytes; the platform holds at most %d",
			ErrInvalidDocument, file, len(raw), core.MaxPublishedBytes)
	}
	root, doc, err := jsondoc.Parse(file, raw)
	if err != nil {
		return core.Configuration{}, fmt.Errorf("%w: %w", ErrInvalidDocument, err)
	}
	configuration := readConfiguration(root)
	if err := doc.Err(); err != nil {
		return core.Configuration{}, fmt.Errorf("%w: %w", ErrInvalidDocument, err)
	}
	sum := sha256.Sum256(raw)
	configuration.Digest = hex.EncodeToString(sum[:])
	configuration.Raw = slices.Clone(raw)
	return configuration, nil
}

// readConfiguration decodes the top level of a configuration.
func readConfiguration(root *jsondoc.Node) core.Configuration {
	configuration := core.Configuration{
		Version:      uint64(root.Field("version").Int(1, math.MaxInt64)),
		Deployment:   root.Field("deployment").Text(),
		MaxInstances: int(root.Field("maxInstances").Int(1, 10_000)),
	}
	services := map[string]bool{}
	upstreams := map[string]bool{}
	for _, node := range root.Field("services").Items(1) {
		service := readService(node, configuration.MaxInstances, upstreams)
		if services[service.Name] {
			node.Field("name").AddError("the service %q occurs twice", service.Name)
		}
		services[service.Name] = true
		configuration.Services = append(configuration.Services, service)
	}
	collections := map[string]bool{}
	for _, node := range root.Field("collections").Items(1) {
		collection := readCollection(node, services)
		if collections[collection.Name] {
			node.Field("name").AddError("the collection %q occurs twice", collection.Name)
		}
		collections[collection.Name] = true
		configuration.Collections = append(configuration.Collections, collection)
	}
	root.RejectUnknownFields()
	return configuration
}

// readService decodes a service. upstreams holds the names of the upstreams of all
// services read so far, since a name must be unique across services.
func readService(node *jsondoc.Node, maxInstances int, upstreams map[string]bool) core.Service {
	service := core.Service{
		Name:        node.Field("name").Text(),
		Slots:       int(node.Field("slots").Int(1, 10_000)),
		Connections: int(node.Field("connections").Int(1, 1_000_000)),
	}
	if service.Connections < maxInstances {
		node.Field("connections").AddError("must be at least maxInstances (%d), so that each instance may open one", maxInstances)
	}
	for _, item := range node.Field("upstreams").Items(1) {
		upstream := core.Upstream{
			Name:    item.Field("name").Text(),
			Address: item.Field("address").RemoteAddress(),
			Zone:    item.Field("zone").Text(),
		}
		item.RejectUnknownFields()
		if upstreams[upstream.Name] {
			item.Field("name").AddError("the upstream %q occurs twice", upstream.Name)
		}
		upstreams[upstream.Name] = true
		service.Upstreams = append(service.Upstreams, upstream)
	}
	node.RejectUnknownFields()
	return service
}

func readCollection(node *jsondoc.Node, services map[string]bool) core.Collection {
	collection := core.Collection{Name: node.Field("name").Text()}
	ids := map[uint64]bool{}
	for _, item := range node.Field("snapshots").Items(1) {
		snapshot := readSnapshot(item, services)
		if ids[snapshot.ID] {
			item.Field("id").AddError("the snapshot occurs twice")
		}
		ids[snapshot.ID] = true
		collection.Snapshots = append(collection.Snapshots, snapshot)
	}
	kinds := map[string]bool{}
	for _, item := range node.Field("kinds").Items(1) {
		kind := readKind(item)
		if kinds[kind.Name] {
			item.Field("name").AddError("the kind %q occurs twice", kind.Name)
		}
		kinds[kind.Name] = true
		collection.Kinds = append(collection.Kinds, kind)
	}
	node.RejectUnknownFields()
	return collection
}

// readSnapshot decodes a snapshot, whose partitions must cover the key space in
// order and without gaps.
func readSnapshot(node *jsondoc.Node, services map[string]bool) core.Snapshot {
	snapshot := core.Snapshot{ID: uint64(node.Field("id").Int(1, math.MaxInt64))}
	partitions := node.Field("partitions")
	var next uint64
	for _, item := range partitions.Items(1) {
		partition := core.Partition{
			Range: core.KeyRange{
				Start: uint64(item.Field("start").Int(0, int64(core.KeySpace))),
				End:   uint64(item.Field("end").Int(0, int64(core.KeySpace))),
			},
			Service: item.Field("service").Text(),
		}
		item.RejectUnknownFields()
		if !services[partition.Service] {
			item.Field("service").AddError("no service of this name exists in services")
		}
		if partition.Range.Start != next {
			item.Field("start").AddError("must be %d, the end of the previous partition", next)
		}
		if partition.Range.Size() == 0 {
			item.Field("end").AddError("must be greater than start")
		}
		next = partition.Range.End
		snapshot.Partitions = append(snapshot.Partitions, partition)
	}
	if next != core.KeySpace {
		partitions.AddError("the last partition must end at %d, not at %d", core.KeySpace, next)
	}
	node.RejectUnknownFields()
	return snapshot
}

func readKind(node *jsondoc.Node) core.Kind {
	kind := core.Kind{
		Name: node.Field("name").Text(),
		Mode: core.Mode(node.Field("mode").OneOf(
			string(core.ModeSearch), string(core.ModeFetch), string(core.ModeOrder))),
		Timeout:    core.Millis(node.Field("timeoutMillis").Int(1, int64(core.MaxTimeoutMillis))),
		CloseAfter: core.Millis(node.Field("closeAfterMillis").IntOr(0, int64(core.MaxTimeoutMillis), 0)),
		Priority:   int(node.Field("priority").Int(0, core.Priorities-1)),
	}
	kind.MinCoverage = 1
	if coverage := node.Field("leastCoverage"); coverage.Present() {
		kind.MinCoverage = coverage.Float(0, 1)
	}
	if kind.CloseAfter > kind.Timeout {
		node.Field("closeAfterMillis").AddError("must be at most timeoutMillis (%d)", kind.Timeout)
	}
	node.RejectUnknownFields()
	return kind
}

// EncodeInstanceList implements core.Decoder. It returns the document from which the
// list was decoded.
func (Decoder) EncodeInstanceList(list core.InstanceList) ([]byte, error) {
	return list.Raw, nil
}

// InstanceList implements core.Decoder. It leaves out invalid entries, unless there are no
// others.
func (Decoder) InstanceList(raw []byte) (core.InstanceList, error) {
	root, doc, err := jsondoc.Parse("instances", raw)
	if err != nil {
		return core.InstanceList{}, fmt.Errorf("%w: %w", ErrInvalidDocument, err)
	}
	list := core.InstanceList{Revision: core.Revision(root.Field("revision").Int(1, math.MaxInt64))}
	items := root.Field("instances").Items(0)
	root.RejectUnknownFields()
	if err := doc.TakeErr(); err != nil {
		return core.InstanceList{}, fmt.Errorf("%w: %w", ErrInvalidDocument, err)
	}
	for _, item := range items {
		member := readMember(item)
		if err := doc.TakeErr(); err != nil {
			list.AddInvalid(err)
			continue
		}
		list.Members = append(list.Members, member)
	}
	if len(list.Members) == 0 && len(list.Invalid) > 0 {
		return core.InstanceList{}, fmt.Errorf("%w: %s", ErrInvalidDocument, strings.Join(list.Invalid, "; "))
	}
	list.Raw = slices.Clone(raw)
	return list, nil
}

func readMember(node *jsondoc.Node) core.Member {
	member := core.Member{
		Name:        node.Field("name").Text(),
		Role:        core.Role(node.Field("role").OneOf(string(core.RoleEntry), string(core.RoleUpstream))),
		Zone:        node.Field("zone").Text(),
		Address:     node.Field("address").RemoteAddress(),
		Incarnation: uint64(node.Field("incarnation").IntOr(0, math.MaxInt64, 0)),
		Leaving:     node.Field("state").OneOf("live", "leaving") == "leaving",
	}
	node.RejectUnknownFields()
	return member
}
