package core

import (
	"maps"
	"slices"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// listMachines sends the cloud's inventory to a controller.
func (w *world) listMachines(node string) {
	var inventory InventoryReceived
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		f := w.workers[id]
		if id == w.unlisted {
			continue
		}
		inventory.Machines = append(inventory.Machines, protocol.ListedMachine{ID: id, Type: f.Type, Zone: f.Zone, Spot: f.Spot, State: protocol.Running, AgeS: w.now.Seconds()})
	}
	w.send(node, inventory)
}

// isZoneFull reports whether the cloud has no more machines in a zone.
func (w *world) isZoneFull(zone string) bool {
	n := 0
	for _, f := range w.workers {
		if f.Zone == zone {
			n++
		}
	}
	return zone == w.fullZone || w.limitZoneCapacity && n >= w.maxMachines/2
}

// capacityOf returns the resources of a machine type, or none if it is unknown.
func (w *world) capacityOf(typ string) job.Resources {
	for _, t := range w.types {
		if t.Name == typ {
			return catalog.Capacity(t)
		}
	}
	return job.Resources{}
}
