package federation

import "slices"

// index provides lookups into the records without scanning them, since there may be thousands.
type index struct {
	// outgoing maps an epoch to the job that is outgoing under it.
	outgoing map[outgoingID]string
	// openEpochs lists, per receiver, the epochs of outgoing jobs in ascending order.
	openEpochs map[Site][]Epoch
	// outgoingByClass counts outgoing jobs per class.
	outgoingByClass map[string]int
	// incoming lists, per origin, the epochs with a stored decision in ascending order.
	incoming map[Site][]Epoch
	// byLocalID maps the local ID of an accepted job to its epoch.
	byLocalID map[string]IncomingID
	// runningByOrigin counts, per origin, the accepted jobs that have not ended.
	runningByOrigin map[Site]int
}

// newIndex builds the index of the given records.
func newIndex(records *Records) *index {
	x := &index{
		outgoing:        map[outgoingID]string{},
		openEpochs:      map[Site][]Epoch{},
		outgoingByClass: map[string]int{},
		incoming:        map[Site][]Epoch{},
		byLocalID:       map[string]IncomingID{},
		runningByOrigin: map[Site]int{},
	}
	for job, outgoing := range records.Outgoing {
		x.outgoing[outgoingID{outgoing.To, outgoing.Epoch}] = job
		x.openEpochs[outgoing.To] = append(x.openEpochs[outgoing.To], outgoing.Epoch)
		x.outgoingByClass[outgoing.Ticket.Class]++
	}
	for id, incoming := range records.Incoming {
		x.incoming[id.Origin] = append(x.incoming[id.Origin], id.Epoch)
		x.countIncoming(id, incoming, 1)
	}
	sortEpochs(x.openEpochs)
	sortEpochs(x.incoming)
	return x
}

func sortEpochs(bySite map[Site][]Epoch) {
	for _, epochs := range bySite {
		slices.Sort(epochs)
	}
}

func (x *index) addOutgoing(job string, outgoing Outgoing) {
	x.outgoing[outgoingID{outgoing.To, outgoing.Epoch}] = job
	x.openEpochs[outgoing.To] = insertEpoch(x.openEpochs[outgoing.To], outgoing.Epoch)
	x.outgoingByClass[outgoing.Ticket.Class]++
}

func (x *index) removeOutgoing(outgoing Outgoing) {
	delete(x.outgoing, outgoingID{outgoing.To, outgoing.Epoch})
	x.openEpochs[outgoing.To] = removeEpoch(x.openEpochs[outgoing.To], outgoing.Epoch)
	x.outgoingByClass[outgoing.Ticket.Class]--
}

func (x *index) addIncoming(id IncomingID, incoming Incoming) {
	x.incoming[id.Origin] = insertEpoch(x.incoming[id.Origin], id.Epoch)
	x.countIncoming(id, incoming, 1)
}

func (x *index) removeIncoming(id IncomingID, incoming Incoming) {
	x.countIncoming(id, incoming, -1)
	delete(x.byLocalID, incoming.LocalID)
	x.incoming[id.Origin] = removeEpoch(x.incoming[id.Origin], id.Epoch)
}

// countIncoming records the local ID of an accepted job and, if the job is running, adds delta
// to the count of its origin.
func (x *index) countIncoming(id IncomingID, incoming Incoming, delta int) {
	if incoming.Accepted {
		x.byLocalID[incoming.LocalID] = id
	}
	if incoming.isRunning() {
		x.runningByOrigin[id.Origin] += delta
	}
}

// insertEpoch adds an epoch to a sorted list unless the list already contains it.
func insertEpoch(epochs []Epoch, epoch Epoch) []Epoch {
	i, found := slices.BinarySearch(epochs, epoch)
	if found {
		return epochs
	}
	return slices.Insert(epochs, i, epoch)
}

// removeEpoch removes an epoch from a sorted list if the list contains it.
func removeEpoch(epochs []Epoch, epoch Epoch) []Epoch {
	if i, found := slices.BinarySearch(epochs, epoch); found {
		return slices.Delete(epochs, i, i+1)
	}
	return epochs
}

// addOutgoing adds an outgoing job to the records and to the index.
func (c *Coordinator) addOutgoing(job string, outgoing Outgoing) {
	c.records.Outgoing[job] = outgoing
	c.index.addOutgoing(job, outgoing)
}

// updateOutgoing updates the record of an outgoing job and returns the new record. The update
// must not change what the index depends on.
func (c *Coordinator) updateOutgoing(job string, update func(*Outgoing)) Outgoing {
	outgoing := c.records.Outgoing[job]
	update(&outgoing)
	c.records.Outgoing[job] = outgoing
	return outgoing
}

// removeOutgoing removes an outgoing job from the records, the index and the retry queue, and
// returns its record.
func (c *Coordinator) removeOutgoing(job string) Outgoing {
	outgoing := c.records.Outgoing[job]
	delete(c.records.Outgoing, job)
	c.index.removeOutgoing(outgoing)
	c.peer(outgoing.To).retries.remove(retryKey{outgoing.Epoch, true})
	return outgoing
}

// setIncoming stores the decision on an epoch, or the final state of its job, in the records and
// the index.
func (c *Coordinator) setIncoming(id IncomingID, incoming Incoming) {
	c.removeIncoming(id)
	c.records.Incoming[id] = incoming
	c.index.addIncoming(id, incoming)
}

// removeIncoming removes the decision on an epoch from the records, the index and the retry
// queue.
func (c *Coordinator) removeIncoming(id IncomingID) {
	incoming, found := c.records.Incoming[id]
	if !found {
		return
	}
	delete(c.records.Incoming, id)
	c.index.removeIncoming(id, incoming)
	c.peer(id.Origin).retries.remove(retryKey{id.Epoch, false})
}
