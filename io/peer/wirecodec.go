package peer

import (
	"fmt"

	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
	protobuf "google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	// minElements is how many items all lists of a message may have, and elementBytes how many bytes
	// the message must have for each further one. An empty item has 2 bytes on the wire and takes
	// several hundred when it is decoded. The runs of a book are the most items that instances
	// send, at 60 bytes each.
	minElements  = 1 << 14
	elementBytes = 48
	// maxDepth is how deep messages may be embedded. The deepest of the protocol has four levels.
	maxDepth = 8
)

// boundedCodec is gRPC's codec for protobuf messages, except that it refuses messages with many small
// elements before it decodes them.
type boundedCodec struct {
	encoding.CodecV2
}

func newBoundedCodec() boundedCodec {
	return boundedCodec{CodecV2: encoding.GetCodecV2(proto.Name)}
}

// Unmarshal implements encoding.CodecV2.
func (c boundedCodec) Unmarshal(data mem.BufferSlice, target any) error {
	message, ok := target.(protobuf.Message)
	if !ok {
		return c.CodecV2.Unmarshal(data, target)
	}
	buffer := data.MaterializeToBuffer(mem.DefaultBufferPool())
	defer buffer.Free()
	raw := buffer.ReadOnlyData()
	limit := max(minElements, len(raw)/elementBytes)
	if countElements(raw, message.ProtoReflect().Descriptor(), maxDepth) > limit {
		return fmt.Errorf("%w: more than %d elements in %d bytes", ErrMalformed, limit, len(raw))
	}
	return protobuf.Unmarshal(raw, message)
}

// countElements returns how many items the lists of the encoded message have, down to the given
// depth of embedded messages. It stops at bytes that can't be decoded.
func countElements(raw []byte, message protoreflect.MessageDescriptor, depth int) int {
	count := 0
	for len(raw) > 0 && depth > 0 {
		number, kind, size := protowire.ConsumeTag(raw)
		if size < 0 {
			return count
		}
		raw = raw[size:]
		if size = protowire.ConsumeFieldValue(number, kind, raw); size < 0 {
			return count
		}
		field := message.Fields().ByNumber(number)
		if field != nil && field.IsList() {
			count++
		}
		if field != nil && field.Message() != nil && kind == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(raw)
			count += countElements(value, field.Message(), depth-1)
		}
		raw = raw[size:]
	}
	return count
}
