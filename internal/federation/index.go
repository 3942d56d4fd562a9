package federation

import (
	"cmp"
	"maps"
	"slices"
)

// index finds records without going through all of them; there may be thousands.
type index struct {
	// outgoing finds the job that is away under an epoch, open lists a site's epochs.
	outgoing   map[outgoingID]string
	openEpochs map[Site][]Epoch
	// incoming lists what was decided of an origin's epochs, local finds an accepted
	// job's, running counts the accepted ones that have not ended.
	incoming        map[Site][]Epoch
	byLocalID       map[string]IncomingID
	runningByOrigin map[Site]int
	// outgoingByClass counts the jobs that are away by class.
	outgoingByClass map[string]int
}

func newIndex(r *Records) *index {
	x := &index{outgoing: map[outgoingID]string{}, openEpochs: map[Site][]Epoch{}, incoming: map[Site][]Epoch{}, byLocalID: map[string]IncomingID{},
		runningByOrigin: map[Site]int{}, outgoingByClass: map[string]int{}}
	for job, a := range r.Outgoing {
		x.outgoing[outgoingID{a.To, a.Epoch}] = job
		x.openEpochs[a.To] = append(x.openEpochs[a.To], a.Epoch)
		x.outgoingByClass[a.Ticket.Class]++
	}
	for h, k := range r.Incoming {
		x.incoming[h.Origin] = append(x.incoming[h.Origin], h.Epoch)
		x.count(h, k, 1)
	}
	for _, lists := range []map[Site][]Epoch{x.openEpochs, x.incoming} {
		for _, list := range lists {
			slices.Sort(list)
		}
	}
	return x
}

// count adds an accepted job that has not ended, or takes it off.
func (x *index) count(h IncomingID, k Incoming, n int) {
	if k.Accepted {
		x.byLocalID[k.LocalID] = h
	}
	if k.Accepted && k.FinalState == "" {
		x.runningByOrigin[h.Origin] += n
	}
}

func insert(list []Epoch, e Epoch) []Epoch {
	i, there := slices.BinarySearch(list, e)
	if there {
		return list
	}
	return slices.Insert(list, i, e)
}

func remove(list []Epoch, e Epoch) []Epoch {
	if i, there := slices.BinarySearch(list, e); there {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// addOutgoing and removeOutgoing note that a job is away, or is no more.
func (m *Coordinator) addOutgoing(job string, a Outgoing) {
	m.records.Outgoing[job] = a
	m.index.outgoing[outgoingID{a.To, a.Epoch}] = job
	m.index.openEpochs[a.To] = insert(m.index.openEpochs[a.To], a.Epoch)
	m.index.outgoingByClass[a.Ticket.Class]++
}

func (m *Coordinator) removeOutgoing(job string) Outgoing {
	a := m.records.Outgoing[job]
	delete(m.records.Outgoing, job)
	delete(m.index.outgoing, outgoingID{a.To, a.Epoch})
	m.index.openEpochs[a.To] = remove(m.index.openEpochs[a.To], a.Epoch)
	m.index.outgoingByClass[a.Ticket.Class]--
	m.peer(a.To).retryQueue.remove(retryKey{a.Epoch, true})
	return a
}

// setIncoming notes a decision, or the end of an accepted job; removeIncoming forgets it.
func (m *Coordinator) setIncoming(h IncomingID, k Incoming) {
	m.removeIncoming(h)
	m.records.Incoming[h] = k
	m.index.incoming[h.Origin] = insert(m.index.incoming[h.Origin], h.Epoch)
	m.index.count(h, k, 1)
}

func (m *Coordinator) removeIncoming(h IncomingID) {
	k, there := m.records.Incoming[h]
	if !there {
		return
	}
	m.index.count(h, k, -1)
	delete(m.records.Incoming, h)
	delete(m.index.byLocalID, k.LocalID)
	m.index.incoming[h.Origin] = remove(m.index.incoming[h.Origin], h.Epoch)
	m.peer(h.Origin).retryQueue.remove(retryKey{h.Epoch, false})
}

// copy makes records that share nothing with others.
func (r Records) copy() Records {
	return Records{LastEpochs: clone(r.LastEpochs), Outgoing: clone(r.Outgoing), Incoming: clone(r.Incoming), LowWaterMarks: clone(r.LowWaterMarks), Drained: clone(r.Drained)}
}

// NewRecords makes records without any hand-off.
func NewRecords() Records { return Records{}.copy() }

func clone[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// CompareIncomingIDs orders epochs by origin and number.
func CompareIncomingIDs(a, b IncomingID) int {
	return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Epoch, b.Epoch))
}
