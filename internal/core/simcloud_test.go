package core

import (
	"maps"
	"slices"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// listMachines sends the cloud's inventory to a controller.
func (cluster *simCluster) listMachines(node string) {
	var inventory InventoryReceived
	for _, id := range slices.Sorted(maps.Keys(cluster.workers)) {
		f := cluster.workers[id]
		if id == cluster.unlistedMachine {
			continue
		}
		inventory.Machines = append(inventory.Machines, protocol.ListedMachine{ID: id, Type: f.Type, Zone: f.Zone, Spot: f.Spot, State: protocol.Running, AgeS: cluster.now.Seconds()})
	}
	cluster.send(node, inventory)
}

// isZoneFull reports whether the cloud has no more machines in a zone.
func (cluster *simCluster) isZoneFull(zone string) bool {
	n := 0
	for _, f := range cluster.workers {
		if f.Zone == zone {
			n++
		}
	}
	return zone == cluster.fullZone || cluster.limitZoneCapacity && n >= cluster.maxMachines/2
}

// capacityOf returns the resources of a machine type, or none if it is unknown.
func (cluster *simCluster) capacityOf(typ string) job.Resources {
	for _, t := range cluster.types {
		if t.Name == typ {
			return catalog.Capacity(t)
		}
	}
	return job.Resources{}
}
