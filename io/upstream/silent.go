package upstream

import (
	"errors"
	"net"
	"syscall"
)

// noInputPending reports whether an idle connection is open and has no input to read. Bytes
// that arrive without a request belong to no request, and an end of file means that the
// upstream has closed the connection.
func noInputPending(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}
