package cli

import (
	"context"
	"net"
	"net/http"

	"acaciavane/core"
	"acaciavane/io/caller"
	"acaciavane/io/operator"
)

const (
	// maxPortHeadBytes bounds the head of a request to the readiness port or the operator's port.
	maxPortHeadBytes = 16 << 10
	// expireInterval is how often connections are checked for their timeouts.
	expireInterval = core.Second
	// headTimeoutMargin is added to the published timeout for a head, for the lag of this process.
	headTimeoutMargin = core.Second
)

// ports holds the budgets of the connections to the ports for callers, readiness checks and
// operators.
type ports struct {
	callers, ready, operator *core.ConnectionBudget
	// smallBuffers limits the kernel's buffers of connections.
	smallBuffers bool
}

func (i *instance) newPorts() ports {
	memory, descriptors := i.settings.MemoryBytes, i.settings.FileDescriptors
	newBudget := func(port string, limits core.ConnectionLimits) *core.ConnectionBudget {
		return core.NewConnectionBudget(i.clock, limits, i.counters, func(closed core.ClosedConnection) { i.logClosed(port, closed) })
	}
	return ports{
		callers:      newBudget("callers", core.NewCallerLimits(memory, descriptors)),
		ready:        newBudget("ready", core.NewPortLimits(memory, descriptors)),
		operator:     newBudget("operator", core.NewPortLimits(memory, descriptors)),
		smallBuffers: memory > 0,
	}
}

// logClosed logs that a connection was closed under pressure or at a timeout.
func (i *instance) logClosed(port string, closed core.ClosedConnection) {
	if closed.TimedOut {
		i.log.V(1).Info("connection timed out", "port", port, "phase", closed.Phase.String(), "bytes", closed.Held)
		return
	}
	i.log.Info("connection closed under pressure", "port", port, "phase", closed.Phase.String(),
		"bytes", closed.Held, "stalledMillis", int64(closed.Stalled))
}

// newServer returns a server whose connections may be charged to a budget.
func newServer(handler http.Handler, maxHeadBytes int) *http.Server {
	return &http.Server{
		Handler: caller.Charged(handler), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: maxHeadBytes, ConnState: caller.Observe, ConnContext: caller.ConnContext,
	}
}

// charge returns the listener that charges the connections to a port.
func (p ports) charge(listener net.Listener, budget *core.ConnectionBudget) net.Listener {
	return caller.NewListener(listener, budget, p.smallBuffers)
}

// timeouts returns the timeouts of callers' connections that the configuration in force sets.
func (i *instance) timeouts() core.ConnectionTimeouts {
	inForce, _ := i.store.Current()
	limits := inForce.Configuration.Limits
	timeouts := core.ConnectionTimeouts{Idle: limits.IdleTimeout}
	if limits.HeaderTimeout > 0 {
		timeouts.Head = limits.HeaderTimeout + headTimeoutMargin
	}
	return timeouts
}

// expireConnections closes the connections of callers that exceed a timeout, until ctx ends.
func (i *instance) expireConnections(ctx context.Context) error {
	for i.clock.Sleep(ctx, expireInterval) == nil {
		i.ports.callers.Expire(i.timeouts())
	}
	return nil
}

// portStates returns the states of the budgets by port.
func (p ports) states() []operator.PortState {
	return []operator.PortState{
		{Port: "callers", ConnectionBudgetState: p.callers.State()},
		{Port: "ready", ConnectionBudgetState: p.ready.State()},
		{Port: "operator", ConnectionBudgetState: p.operator.State()},
	}
}
