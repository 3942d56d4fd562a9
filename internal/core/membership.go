package core

import (
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// membership holds the known controllers of this deployment and this node's own registration.
type membership struct {
	self string
	// incarnation identifies this run of the process.
	incarnation string
	// controllers lists all configured controllers, in the same order on every node.
	controllers []string
	// live holds the registered controllers by name.
	live map[string]nodeRecord
	// lease is this node's controller lease in the store, or 0 if it has none.
	lease uint64
	// registering is set while a write of this node's own key awaits its reply. registeredAt is
	// the revision of the last successful write.
	registering  bool
	registeredAt uint64
	// tokenLease is the last lease for whose registration this node has requested a fencing
	// token.
	tokenLease uint64
	// nextElection is when electLeaders runs next.
	nextElection time.Duration
}

func newMembership(self, incarnation string, peers []settings.Peer) membership {
	controllers := []string{self}
	for _, peer := range peers {
		controllers = append(controllers, peer.Node)
	}
	slices.Sort(controllers)
	return membership{
		self:        self,
		incarnation: incarnation,
		controllers: slices.Compact(controllers),
		live:        map[string]nodeRecord{},
	}
}

// size returns the number of configured controllers.
func (m *membership) size() int { return len(m.controllers) }

// position returns this node's index among the configured controllers.
func (m *membership) position() int { return slices.Index(m.controllers, m.self) }

// missing returns how many configured controllers are not registered.
func (m *membership) missing() int { return max(0, len(m.controllers)-len(m.live)) }

// isLive reports whether a controller is registered.
func (m *membership) isLive(node string) bool {
	_, live := m.live[node]
	return live
}

// isCurrent reports whether the leader's incarnation is the registered one of its node.
func (m *membership) isCurrent(leader leaderRecord) bool {
	node, live := m.live[leader.Node]
	return live && node.Incarnation == leader.Incarnation
}

// isSelf reports whether a leader is this incarnation of this node.
func (m *membership) isSelf(leader leaderRecord) bool {
	return leader == leaderRecord{Node: m.self, Incarnation: m.incarnation}
}

// registered reports whether the replica shows this incarnation's own key under its current
// lease.
func (m *membership) registered() bool {
	own, live := m.live[m.self]
	return live && own.Incarnation == m.incarnation && own.Lease == m.lease
}

// allSupportFederation reports whether all live controllers support federation. A controller
// without a federation configuration would run jobs that were handed off.
func (m *membership) allSupportFederation() bool {
	for _, node := range m.live {
		if !node.SupportsFederation {
			return false
		}
	}
	return true
}

// preferredLeader returns the controller that should lead the shard with the given index. The
// choice is stable while that controller is live, so the failure of a controller moves only its own
// shards. If federation support is required, controllers without it are skipped, since they would
// run jobs that were handed off.
func (m *membership) preferredLeader(index int, requiresFederation bool) string {
	for offset := range m.controllers {
		name := m.controllers[(index+offset)%len(m.controllers)]
		if node, live := m.live[name]; live && (node.SupportsFederation || !requiresFederation) {
			return name
		}
	}
	return m.self
}

// registration returns the transaction that writes this node's own key. It applies only if the
// key is as the replica shows it, because a delayed write of an earlier incarnation, whose
// lease may still be live, must not replace a newer key.
func (m *membership) registration(federation bool) protocol.Txn {
	key := keyNode + m.self
	own := nodeRecord{Incarnation: m.incarnation, Lease: m.lease, SupportsFederation: federation}
	return protocol.Txn{
		If:   []protocol.Condition{{Key: key, Version: m.live[m.self].version}},
		Then: []protocol.Change{{Put: key, Value: mustjson.Marshal(own), Lease: m.lease}},
	}
}

// register writes this node's own key if it is not in the replica yet, once the stored state is
// loaded and a lease is granted. It also requests a fencing token for each new lease.
func (c *Core) register() {
	m := &c.members
	if !c.replica.loaded || m.lease == 0 || m.registered() || m.registering || c.replica.revision < m.registeredAt {
		return
	}
	m.registering = true
	c.compareAndSwap(m.registration(c.federation != nil), true, func(r StoreReply) {
		m.registering = false // electLeaders retries unless the watch shows the key
		if r.Outcome == OutcomeApplied {
			m.registeredAt = r.Revision
		}
	})
	if m.tokenLease != m.lease {
		m.tokenLease = m.lease
		c.agents.acquireToken()
	}
}

// leaseGranted registers this node under a new lease.
func (c *Core) leaseGranted(lease uint64) {
	c.members.lease = lease
	c.register()
}

// leaseExpired gives up the leadership of all shards, because other leaders may have been
// elected.
func (c *Core) leaseExpired() {
	c.members.lease = 0
	for _, s := range c.allShards() {
		if s.leading {
			c.lostLeadership(s)
		}
	}
}

// onNodePut records a registered controller.
func (c *Core) onNodePut(item protocol.KeyValue) error {
	node := nodeRecord{version: item.Version}
	if err := json.Unmarshal(item.Value, &node); err != nil {
		return err
	}
	c.members.live[strings.TrimPrefix(item.Key, keyNode)] = node
	c.members.nextElection = 0 // it may be the preferred leader of some shards
	return nil
}

// onNodeDelete removes a controller whose lease has ended.
func (c *Core) onNodeDelete(key string) {
	node := strings.TrimPrefix(key, keyNode)
	c.log(Info, "controller lease ended", "node", node)
	delete(c.members.live, node)
	c.members.nextElection = 0
}
