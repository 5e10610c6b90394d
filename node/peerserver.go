package node

import (
	"cmp"
	"context"
	"net/rpc"

	"github.com/knapweedweir/knapweedweir/daemon/rpclimit"
)

const (
	// defaultMaxPeerConns is the number of connections from peers that are open at a time if the settings name none.
	defaultMaxPeerConns = 1024
	// minMaxPeerMessage is the least bound on the size of a message, in bytes.
	minMaxPeerMessage = 512 << 10
	// maxShortArgs bounds arguments that contain no records and no lists of workers, in bytes.
	maxShortArgs = 128 << 10
	// peerMemoryFraction is the part of the process's memory that calls of peers may use, and also the part that unfinished
	// messages may use.
	peerMemoryFraction = 0.3
	// keptMemoryFraction is the part of the process's memory that the buffers of decoders may take. A decoder keeps the last message.
	keptMemoryFraction = 0.25
	// defaultPeerMemory applies if the process's memory isn't known, in bytes.
	defaultPeerMemory = 64 << 20
)

// longArgs are the methods whose arguments contain a record or a list of workers.
var longArgs = map[string]bool{"Peer.Submit": true, "Peer.Store": true, "Peer.Advise": true}

// newPeerServer returns a server of the instance's peers.
func newPeerServer(n *Node) *rpclimit.Server {
	bounds := rpclimit.Bounds{MaxConns: cmp.Or(n.opts.MaxPeerConns, defaultMaxPeerConns), MaxMemory: defaultPeerMemory, MaxKept: defaultPeerMemory}
	if total := float64(n.opts.MaxMemory); total > 0 {
		bounds.MaxMemory, bounds.MaxKept = int(peerMemoryFraction*total), int(keptMemoryFraction*total)
	}
	bounds.MaxMemory = cmp.Or(int(n.opts.MaxPeerMemory), bounds.MaxMemory)
	maxMessage := max(minMaxPeerMessage, 2*n.opts.MaxRecord)
	bounds.MaxArgs = func(method string) int {
		if longArgs[method] {
			return maxMessage
		}
		return maxShortArgs
	}
	services := func(ctx context.Context) (*rpc.Server, error) {
		server := rpc.NewServer()
		return server, server.RegisterName("Peer", connectedPeer{Peer{n}, ctx})
	}
	return rpclimit.New(bounds, services, n.metrics.scope, n.log.With().Str("server", "peers").Logger())
}
