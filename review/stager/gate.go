package stager

import (
	"net"
	"time"
)

// cutCheckInterval is how often a connection of a runner that is cut off looks whether the cut has ended.
const cutCheckInterval = 10 * time.Millisecond

// gatedListener wraps the connections of a life, so that they can be reset and cut.
type gatedListener struct {
	net.Listener
	life *life
}

// Accept implements net.Listener.
func (gatedListener gatedListener) Accept() (net.Conn, error) {
	conn, err := gatedListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	socket := &gate{Conn: conn, life: gatedListener.life}
	gatedListener.life.runner.network.Lock()
	defer gatedListener.life.runner.network.Unlock()
	gatedListener.life.sockets[socket] = true
	return socket, nil
}

// gate is a connection through which nothing passes while its runner is cut off.
type gate struct {
	net.Conn
	life *life
	// held is true once something was held up. The network mutex of the Runner guards it.
	held bool
}

// Read implements net.Conn.
func (gate *gate) Read(data []byte) (int, error) {
	count, err := gate.Conn.Read(data)
	if !gate.pass() {
		return 0, net.ErrClosed
	}
	return count, err
}

// Write implements net.Conn.
func (gate *gate) Write(data []byte) (int, error) {
	if !gate.pass() {
		return 0, net.ErrClosed
	}
	return gate.Conn.Write(data)
}

// pass waits while the runner is cut off. What was held up is lost, because the connection is reset afterwards.
func (gate *gate) pass() bool {
	runner := gate.life.runner
	for {
		runner.network.Lock()
		cut, held := runner.cut || gate.life.silent, gate.held
		gate.held = gate.held || cut
		runner.network.Unlock()
		if !cut {
			return !held
		}
		time.Sleep(cutCheckInterval)
	}
}

// Close implements net.Conn.
func (gate *gate) Close() error {
	runner := gate.life.runner
	runner.network.Lock()
	delete(gate.life.sockets, gate)
	runner.network.Unlock()
	return gate.Conn.Close()
}

// reset closes the connection with a reset. The network mutex of the Runner must be held.
func (gate *gate) reset() {
	delete(gate.life.sockets, gate)
	if tcp, ok := gate.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close then sends a reset.
	}
	_ = gate.Conn.Close()
}
