package federation

import (
	"cmp"
	"maps"
	"slices"
)

// index finds records without going through all of them; there may be thousands.
type index struct {
	// job finds the job that is away under an epoch, open lists a site's epochs.
	job  map[given]string
	open map[Site][]Epoch
	// taken lists what was decided of an origin's epochs, local finds an accepted
	// job's, running counts the accepted ones that have not ended.
	taken   map[Site][]Epoch
	local   map[string]Hold
	running map[Site]int
	// class counts the jobs that are away by class.
	class map[string]int
}

func newIndex(r *Records) *index {
	x := &index{job: map[given]string{}, open: map[Site][]Epoch{}, taken: map[Site][]Epoch{}, local: map[string]Hold{},
		running: map[Site]int{}, class: map[string]int{}}
	for job, a := range r.Away {
		x.job[given{a.To, a.Epoch}] = job
		x.open[a.To] = append(x.open[a.To], a.Epoch)
		x.class[a.Ticket.Class]++
	}
	for h, k := range r.Taken {
		x.taken[h.Origin] = append(x.taken[h.Origin], h.Epoch)
		x.count(h, k, 1)
	}
	for _, lists := range []map[Site][]Epoch{x.open, x.taken} {
		for _, list := range lists {
			slices.Sort(list)
		}
	}
	return x
}

// count adds an accepted job that has not ended, or takes it off.
func (x *index) count(h Hold, k Taken, n int) {
	if k.Accepted {
		x.local[k.Local] = h
	}
	if k.Accepted && k.State == "" {
		x.running[h.Origin] += n
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

// addAway and dropAway note that a job is away, or is no more.
func (m *Machine) addAway(job string, a Away) {
	m.records.Away[job] = a
	m.index.job[given{a.To, a.Epoch}] = job
	m.index.open[a.To] = insert(m.index.open[a.To], a.Epoch)
	m.index.class[a.Ticket.Class]++
}

func (m *Machine) dropAway(job string) Away {
	a := m.records.Away[job]
	delete(m.records.Away, job)
	delete(m.index.job, given{a.To, a.Epoch})
	m.index.open[a.To] = remove(m.index.open[a.To], a.Epoch)
	m.index.class[a.Ticket.Class]--
	m.peer(a.To).agenda.drop(item{a.Epoch, true})
	return a
}

// setTaken notes a decision, or the end of an accepted job; dropTaken forgets it.
func (m *Machine) setTaken(h Hold, k Taken) {
	m.dropTaken(h)
	m.records.Taken[h] = k
	m.index.taken[h.Origin] = insert(m.index.taken[h.Origin], h.Epoch)
	m.index.count(h, k, 1)
}

func (m *Machine) dropTaken(h Hold) {
	k, there := m.records.Taken[h]
	if !there {
		return
	}
	m.index.count(h, k, -1)
	delete(m.records.Taken, h)
	delete(m.index.local, k.Local)
	m.index.taken[h.Origin] = remove(m.index.taken[h.Origin], h.Epoch)
	m.peer(h.Origin).agenda.drop(item{h.Epoch, false})
}

// copy makes records that share nothing with others.
func (r Records) copy() Records {
	return Records{Last: clone(r.Last), Away: clone(r.Away), Taken: clone(r.Taken), Floors: clone(r.Floors), Drained: clone(r.Drained)}
}

func clone[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// CompareHolds orders epochs by origin and number.
func CompareHolds(a, b Hold) int {
	return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Epoch, b.Epoch))
}
