package peer

import "encoding/binary"

// Parts of HTTP/2 (RFC 9113) that are needed to follow the streams of a connection.
const (
	frameHeaderBytes = 9
	prefaceBytes     = len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")

	frameData      = 0x0
	frameHeaders   = 0x1
	frameRSTStream = 0x3

	flagEndStream = 0x1
)

// frameHeader describes a frame.
type frameHeader struct {
	kind, flags byte
	stream      uint32
	length      int
}

// endsStream reports whether the sender sends nothing after the frame on its stream.
func (f frameHeader) endsStream() bool {
	return f.kind == frameRSTStream || (f.kind == frameData || f.kind == frameHeaders) && f.flags&flagEndStream != 0
}

// frameScanner finds the frames in one direction of a connection.
type frameScanner struct {
	// skip is how many bytes follow before the next frame header: the rest of a frame or of the
	// connection preface.
	skip   int
	header [frameHeaderBytes]byte
	filled int
}

// scan calls visit with the header of each frame that begins in data.
func (s *frameScanner) scan(data []byte, visit func(frameHeader)) {
	for len(data) > 0 {
		if s.skip > 0 {
			count := min(s.skip, len(data))
			s.skip -= count
			data = data[count:]
			continue
		}
		count := copy(s.header[s.filled:], data)
		s.filled += count
		data = data[count:]
		if s.filled == frameHeaderBytes {
			frame := decodeFrameHeader(s.header)
			s.filled, s.skip = 0, frame.length
			visit(frame)
		}
	}
}

func decodeFrameHeader(raw [frameHeaderBytes]byte) frameHeader {
	const streamMask = 1<<31 - 1
	return frameHeader{
		length: int(raw[0])<<16 | int(raw[1])<<8 | int(raw[2]),
		kind:   raw[3],
		flags:  raw[4],
		stream: binary.BigEndian.Uint32(raw[5:]) & streamMask,
	}
}
