package upstream

import (
	"errors"
	"net"
	"syscall"
)

// inputState is what an idle connection has to read.
type inputState int

const (
	// inputNone means that the connection is open and has no input.
	inputNone inputState = iota
	// inputPending means that bytes have arrived. Without a request they belong to none.
	inputPending
	// inputEnded means that the upstream has closed the connection.
	inputEnded
)

// inputOf returns what an idle connection has to read.
func inputOf(conn net.Conn) inputState {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return inputNone
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return inputEnded
	}
	state := inputEnded
	err = control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = inputNone
		case err == nil && count > 0:
			state = inputPending
		}
		return true
	})
	if err != nil {
		return inputEnded
	}
	return state
}
