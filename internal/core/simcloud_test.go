package core

import (
	"maps"
	"slices"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

func (w *world) list(node string) {
	var l InventoryReceived
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		f := w.workers[id]
		if id == w.unlisted {
			continue
		}
		l.Machines = append(l.Machines, protocol.ListedMachine{ID: id, Type: f.Type, Zone: f.Zone, Spot: f.Spot, State: protocol.Running, AgeS: w.now.Seconds()})
	}
	w.send(node, l)
}

// isZoneFull tells whether the cloud has no more machines in a zone.
func (w *world) isZoneFull(zone string) bool {
	n := 0
	for _, f := range w.workers {
		if f.Zone == zone {
			n++
		}
	}
	return zone == w.fullZone || w.zoned && n >= w.maxMachines/2
}

func (w *world) sizeOf(typ string) job.Resources {
	for _, t := range w.types {
		if t.Name == typ {
			return catalog.Capacity(t)
		}
	}
	return job.Resources{}
}
