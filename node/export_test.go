package node

// Bounds of the cost of electors.
const (
	MaxElectors       = maxElectors
	HeartbeatInterval = heartbeatInterval
)

// StallPools makes the instance handle nothing of its pools until the channel is closed, as if its process was stopped.
func (n *Node) StallPools(until <-chan struct{}) {
	for _, pc := range n.allControllers() {
		go pc.send(pc.ctx, func() { <-until })
	}
}
