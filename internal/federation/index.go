package federation

import "slices"

// index finds records without going through all of them; there may be thousands.
type index struct {
	// outgoing finds the job that is outgoing under an epoch.
	outgoing map[outgoingID]string
	// openEpochs lists the epochs of the outgoing jobs at each site.
	openEpochs map[Site][]Epoch
	// outgoingByClass counts the outgoing jobs by class.
	outgoingByClass map[string]int
	// incoming lists the epochs of each origin that are decided.
	incoming map[Site][]Epoch
	// byLocalID finds the epoch of an accepted job.
	byLocalID map[string]IncomingID
	// runningByOrigin counts the accepted jobs that have not ended.
	runningByOrigin map[Site]int
}

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
	x.openEpochs[outgoing.To] = insert(x.openEpochs[outgoing.To], outgoing.Epoch)
	x.outgoingByClass[outgoing.Ticket.Class]++
}

func (x *index) removeOutgoing(outgoing Outgoing) {
	delete(x.outgoing, outgoingID{outgoing.To, outgoing.Epoch})
	x.openEpochs[outgoing.To] = remove(x.openEpochs[outgoing.To], outgoing.Epoch)
	x.outgoingByClass[outgoing.Ticket.Class]--
}

func (x *index) addIncoming(id IncomingID, incoming Incoming) {
	x.incoming[id.Origin] = insert(x.incoming[id.Origin], id.Epoch)
	x.countIncoming(id, incoming, 1)
}

func (x *index) removeIncoming(id IncomingID, incoming Incoming) {
	x.countIncoming(id, incoming, -1)
	delete(x.byLocalID, incoming.LocalID)
	x.incoming[id.Origin] = remove(x.incoming[id.Origin], id.Epoch)
}

// countIncoming adds an accepted job to the count of running ones, or takes it off.
func (x *index) countIncoming(id IncomingID, incoming Incoming, n int) {
	if incoming.Accepted {
		x.byLocalID[incoming.LocalID] = id
	}
	if incoming.isRunning() {
		x.runningByOrigin[id.Origin] += n
	}
}

// insert adds an epoch to a sorted list, unless it is there.
func insert(epochs []Epoch, epoch Epoch) []Epoch {
	i, found := slices.BinarySearch(epochs, epoch)
	if found {
		return epochs
	}
	return slices.Insert(epochs, i, epoch)
}

// remove removes an epoch from a sorted list.
func remove(epochs []Epoch, epoch Epoch) []Epoch {
	if i, found := slices.BinarySearch(epochs, epoch); found {
		return slices.Delete(epochs, i, i+1)
	}
	return epochs
}

// addOutgoing adds an outgoing job to the records and the index.
func (c *Coordinator) addOutgoing(job string, outgoing Outgoing) {
	c.records.Outgoing[job] = outgoing
	c.index.addOutgoing(job, outgoing)
}

// changeOutgoing changes the record of an outgoing job.
func (c *Coordinator) changeOutgoing(job string, change func(*Outgoing)) Outgoing {
	outgoing := c.records.Outgoing[job]
	change(&outgoing)
	c.records.Outgoing[job] = outgoing
	return outgoing
}

// removeOutgoing removes an outgoing job, of which its receiver is told no more.
func (c *Coordinator) removeOutgoing(job string) Outgoing {
	outgoing := c.records.Outgoing[job]
	delete(c.records.Outgoing, job)
	c.index.removeOutgoing(outgoing)
	c.peer(outgoing.To).retries.remove(retryKey{outgoing.Epoch, true})
	return outgoing
}

// setIncoming notes a decision, or the end of an accepted job.
func (c *Coordinator) setIncoming(id IncomingID, incoming Incoming) {
	c.removeIncoming(id)
	c.records.Incoming[id] = incoming
	c.index.addIncoming(id, incoming)
}

// removeIncoming removes a decision, of which its origin is told no more.
func (c *Coordinator) removeIncoming(id IncomingID) {
	incoming, found := c.records.Incoming[id]
	if !found {
		return
	}
	delete(c.records.Incoming, id)
	c.index.removeIncoming(id, incoming)
	c.peer(id.Origin).retries.remove(retryKey{id.Epoch, false})
}
