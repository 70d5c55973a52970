package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"acaciavane/io/peer/peerpb"
)

const (
	// rawFrameBytes is the size of a DATA frame of a raw peer, the largest that HTTP/2 allows without
	// an agreement.
	rawFrameBytes = 16 << 10
	// rawWindowBytes is the flow control window of HTTP/2 before the settings have arrived.
	rawWindowBytes = 1<<16 - 1
)

// rawPeer is one end of an HTTP/2 connection that sends the frames of a faulty peer. It keeps to flow
// control, so that it is not stopped by that alone.
type rawPeer struct {
	conn   net.Conn
	framer *http2.Framer
	// onHeaders is called with each stream that the other end opens.
	onHeaders func(stream uint32)

	mu      sync.Mutex
	changed *sync.Cond
	initial int64
	windows map[uint32]int64
	ended   bool
	// next is the next stream that a client opens. It is 0 for a server.
	next uint32
}

func newRawPeer(conn net.Conn) *rawPeer {
	p := &rawPeer{conn: conn, framer: http2.NewFramer(conn, conn), onHeaders: func(uint32) {}, initial: rawWindowBytes, windows: map[uint32]int64{0: rawWindowBytes}}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// read reads frames until the connection ends.
func (p *rawPeer) read() {
	for {
		frame, err := p.framer.ReadFrame()
		if err != nil {
			p.mu.Lock()
			p.ended = true
			p.changed.Broadcast()
			p.mu.Unlock()
			return
		}
		p.handle(frame)
	}
}

func (p *rawPeer) handle(frame http2.Frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.changed.Broadcast()
	switch frame := frame.(type) {
	case *http2.SettingsFrame:
		if size, ok := frame.Value(http2.SettingInitialWindowSize); ok {
			for stream := range p.windows {
				if stream != 0 {
					p.windows[stream] += int64(size) - p.initial
				}
			}
			p.initial = int64(size)
		}
		if !frame.IsAck() {
			_ = p.framer.WriteSettingsAck()
		}
	case *http2.WindowUpdateFrame:
		p.windows[frame.StreamID] += int64(frame.Increment)
	case *http2.RSTStreamFrame:
		delete(p.windows, frame.StreamID)
	case *http2.PingFrame:
		_ = p.framer.WritePing(true, frame.Data)
	case *http2.HeadersFrame:
		_, known := p.windows[frame.StreamID]
		switch {
		case known && frame.StreamEnded():
			delete(p.windows, frame.StreamID)
		case !known:
			p.windows[frame.StreamID] = p.initial
			go p.onHeaders(frame.StreamID)
		}
	}
}

// write calls write while no other frame is written.
func (p *rawPeer) write(write func(*http2.Framer) error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ended && write(p.framer) == nil
}

// send sends data on a stream as the windows allow. It returns false once the stream has ended.
func (p *rawPeer) send(stream uint32, data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(data) > 0 {
		window, open := p.windows[stream]
		count := min(int64(len(data)), rawFrameBytes, window, p.windows[0])
		switch {
		case p.ended || !open:
			return false
		case count <= 0:
			p.changed.Wait()
			continue
		}
		p.windows[stream] -= count
		p.windows[0] -= count
		if p.framer.WriteData(stream, false, data[:count]) != nil {
			return false
		}
		data = data[count:]
	}
	return true
}

// open sends the header of a stream. A client opens its streams in ascending order.
func (p *rawPeer) open(stream uint32, fields ...hpack.HeaderField) bool {
	p.mu.Lock()
	for p.next != 0 && stream > p.next && !p.ended {
		p.changed.Wait()
	}
	if _, known := p.windows[stream]; !known {
		p.windows[stream] = p.initial
	}
	p.mu.Unlock()
	return p.write(func(f *http2.Framer) error {
		err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: encodeFields(fields), EndHeaders: true})
		if p.next == stream {
			p.next += 2
			p.changed.Broadcast()
		}
		return err
	})
}

// awaitEnd waits until the other end has ended the stream.
func (p *rawPeer) awaitEnd(stream uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, open := p.windows[stream]; open && !p.ended; _, open = p.windows[stream] {
		p.changed.Wait()
	}
}

// encodeFields returns a header block. It does not refer to earlier blocks.
func encodeFields(fields []hpack.HeaderField) []byte {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	encoder.SetMaxDynamicTableSize(0)
	for _, field := range fields {
		_ = encoder.WriteField(field)
	}
	return block.Bytes()
}

var (
	requestFields = []hpack.HeaderField{
		{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: peerpb.Peer_Exchange_FullMethodName},
		{Name: ":authority", Value: "a"}, {Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"},
	}
	longFields  = bytes.Repeat(encodeFields([]hpack.HeaderField{{Name: "a", Value: strings.Repeat("\xff", 1<<10)}}), 4)
	replyFields = []hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}
)

// prefix returns the start of a gRPC message that announces size bytes.
func prefix(compressed byte, size uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{compressed}, size)
}

// zeros is what raw peers send. It is shared, so that they hold next to no memory themselves.
var zeros [rawFrameBytes]byte

// sendZeros sends count bytes, or without end if count is negative.
func (p *rawPeer) sendZeros(stream uint32, count int) {
	for count != 0 {
		size := len(zeros)
		if count > 0 {
			size = min(size, count)
			count -= size
		}
		if !p.send(stream, zeros[:size]) {
			return
		}
	}
}

// sendTrickle sends a byte at a time.
func (p *rawPeer) sendTrickle(stream uint32) {
	for p.send(stream, zeros[:1]) {
		time.Sleep(10 * time.Millisecond)
	}
}

// faults are what a raw peer sends on a stream, without end.
var faults = map[string]func(p *rawPeer, stream uint32, header []hpack.HeaderField){
	"a message that is not completed": func(p *rawPeer, stream uint32, header []hpack.HeaderField) {
		p.open(stream, header...)
		p.send(stream, prefix(0, MaxMessageBytes))
		p.sendZeros(stream, MaxMessageBytes-1)
	},
	"a message that is too large": func(p *rawPeer, stream uint32, header []hpack.HeaderField) {
		p.open(stream, header...)
		p.send(stream, prefix(0, 1<<30))
		p.sendZeros(stream, -1)
	},
	"a compressed message": func(p *rawPeer, stream uint32, header []hpack.HeaderField) {
		p.open(stream, append(slices.Clone(header), hpack.HeaderField{Name: "grpc-encoding", Value: "gzip"})...)
		p.send(stream, prefix(1, MaxMessageBytes))
		p.sendZeros(stream, MaxMessageBytes)
	},
	"many messages": func(p *rawPeer, stream uint32, header []hpack.HeaderField) {
		p.open(stream, header...)
		// Zeros are empty messages.
		p.sendZeros(stream, -1)
	},
	"a slow message": func(p *rawPeer, stream uint32, header []hpack.HeaderField) {
		p.open(stream, header...)
		p.send(stream, prefix(0, MaxMessageBytes))
		p.sendTrickle(stream)
	},
	"one header": func(p *rawPeer, stream uint32, header []hpack.HeaderField) {
		p.write(func(f *http2.Framer) error {
			err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: encodeFields(header)})
			for err == nil {
				err = f.WriteContinuation(stream, false, longFields)
			}
			return err
		})
	},
	"headers": func(p *rawPeer, stream uint32, header []hpack.HeaderField) {
		for p.open(stream, header...) {
		}
	},
	"frames of an unknown type": func(p *rawPeer, stream uint32, header []hpack.HeaderField) {
		p.open(stream, header...)
		for p.write(func(f *http2.Framer) error { return f.WriteRawFrame(0x55, 0, stream, zeros[:]) }) {
		}
	},
	"settings": func(p *rawPeer, stream uint32, header []hpack.HeaderField) {
		p.open(stream, header...)
		for p.write(func(f *http2.Framer) error { return f.WriteSettings() }) {
		}
	},
	"bytes that are no frames": func(p *rawPeer, _ uint32, _ []hpack.HeaderField) {
		p.write(func(*http2.Framer) error {
			for {
				if _, err := p.conn.Write(longFields); err != nil {
					return err
				}
			}
		})
	},
}

// dialRaw connects to a server as a client.
func dialRaw(address string) (*rawPeer, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	p := newRawPeer(conn)
	p.next = 1
	_, _ = io.WriteString(conn, http2.ClientPreface)
	_ = p.framer.WriteSettings()
	go p.read()
	return p, nil
}

// serveRaw listens and answers each call with a fault. It returns the address and a function that
// stops the server.
func serveRaw(fault func(p *rawPeer, stream uint32, header []hpack.HeaderField)) (string, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p := newRawPeer(conn)
			p.onHeaders = func(stream uint32) { fault(p, stream, replyFields) }
			go func() {
				_, _ = io.CopyN(io.Discard, conn, int64(len(http2.ClientPreface)))
				_ = p.write(func(f *http2.Framer) error { return f.WriteSettings() })
				p.read()
			}()
		}
	}()
	return listener.Addr().String(), func() { _ = listener.Close() }, nil
}
