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

// membership is what this node knows of the controllers of its deployment, and its own
// registration among them.
type membership struct {
	self string
	// incarnation tells this run of the process from earlier ones.
	incarnation string
	// roster lists all controllers that the settings name, in the same order on every node.
	roster []string
	// live holds the registered controllers, by name.
	live map[string]nodeRecord
	// lease is this node's lease in the store, 0 without one.
	lease uint64
	// registering is set while this node's own key is being written, registeredAt is the
	// revision of the last write.
	registering  bool
	registeredAt uint64
	// tokenLease is the lease under which this node first acquired a fencing token.
	tokenLease uint64
	// nextElection is when leaderless shards are looked for again.
	nextElection time.Duration
}

func newMembership(self, incarnation string, peers []settings.Peer) membership {
	roster := []string{self}
	for _, peer := range peers {
		roster = append(roster, peer.Node)
	}
	slices.Sort(roster)
	return membership{
		self:        self,
		incarnation: incarnation,
		roster:      slices.Compact(roster),
		live:        map[string]nodeRecord{},
	}
}

// size is the number of controllers that the settings name.
func (m *membership) size() int { return len(m.roster) }

// position is this node's place among all controllers.
func (m *membership) position() int { return slices.Index(m.roster, m.self) }

// missing is how many controllers are not registered.
func (m *membership) missing() int { return max(0, len(m.roster)-len(m.live)) }

// isLive tells whether a controller is registered.
func (m *membership) isLive(node string) bool {
	_, live := m.live[node]
	return live
}

// isCurrent tells whether a leader's run of the process is the one that is registered.
func (m *membership) isCurrent(leader leaderRecord) bool {
	node, live := m.live[leader.Node]
	return live && node.Incarnation == leader.Incarnation
}

// isSelf tells whether a leader is this run of this node.
func (m *membership) isSelf(leader leaderRecord) bool {
	return leader == leaderRecord{Node: m.self, Incarnation: m.incarnation}
}

// registered tells whether the store shows this run's own key under its lease.
func (m *membership) registered() bool {
	own, live := m.live[m.self]
	return live && own.Incarnation == m.incarnation && own.Lease == m.lease
}

// allKnowFederation tells whether all live controllers keep away from jobs that were handed off.
func (m *membership) allKnowFederation() bool {
	for _, node := range m.live {
		if !node.Federation {
			return false
		}
	}
	return true
}

// preferredLeader is the controller that should lead the shard with an index: the same one for as
// long as it lives, so that the end of another moves only that one's shards. Where needed, those
// that do not keep away from jobs that were handed off are left out.
func (m *membership) preferredLeader(index int, needsFederation bool) string {
	for offset := range m.roster {
		name := m.roster[(index+offset)%len(m.roster)]
		if node, live := m.live[name]; live && (node.Federation || !needsFederation) {
			return name
		}
	}
	return m.self
}

// registration is the transaction that writes this node's own key. It is applied only while the
// key is as the replica has it: a former run may write it late, under a lease that still lives.
func (m *membership) registration(federation bool) protocol.Txn {
	key := keyNode + m.self
	own := nodeRecord{Incarnation: m.incarnation, Lease: m.lease, Federation: federation}
	return protocol.Txn{
		If:   []protocol.Condition{{Key: key, Version: m.live[m.self].version}},
		Then: []protocol.Change{{Put: key, Value: mustjson.Marshal(own), Lease: m.lease}},
	}
}

// register writes this node's own key while it has a lease and the stored state, and the store
// does not show it.
func (c *Core) register() {
	m := &c.members
	if !c.replica.loaded || m.lease == 0 || m.registered() || m.registering || c.replica.revision < m.registeredAt {
		return
	}
	m.registering = true
	c.compareAndSwap(m.registration(c.federation != nil), true, func(r StoreReply) {
		m.registering = false // electLeaders tries again, unless the watch shows it
		if r.Outcome == Applied {
			m.registeredAt = r.Revision
		}
	})
	if m.tokenLease != m.lease {
		m.tokenLease = m.lease
		c.agents.acquireToken()
	}
}

// leaseGranted registers this node under a fresh lease.
func (c *Core) leaseGranted(lease uint64) {
	c.members.lease = lease
	c.register()
}

// leaseExpired gives up every leadership: others may have been elected by now.
func (c *Core) leaseExpired() {
	c.members.lease = 0
	for _, s := range c.allShards() {
		if s.leading {
			c.lostLeadership(s)
		}
	}
}

// onNodePut notes a registered controller.
func (c *Core) onNodePut(item protocol.KeyValue) error {
	node := nodeRecord{version: item.Version}
	if err := json.Unmarshal(item.Value, &node); err != nil {
		return err
	}
	c.members.live[strings.TrimPrefix(item.Key, keyNode)] = node
	c.members.nextElection = 0 // shards may be waiting for it
	return nil
}

// onNodeDelete notes that a controller's lease has ended.
func (c *Core) onNodeDelete(key string) {
	node := strings.TrimPrefix(key, keyNode)
	c.log(Info, "controller lease ended", "node", node)
	delete(c.members.live, node)
	c.members.nextElection = 0
}
