package core

import "time"

// maxDeliveryCopies is the maximum number of further copies of a delivery that arrive.
const maxDeliveryCopies = 3

// repeatDelivery makes copies of an executed delivery arrive at the worker again, whatever has become of
// its controller meanwhile.
func (cluster *simCluster) repeatDelivery(delivery Deliver) {
	if !cluster.repeatDeliveries || len(delivery.CommandBatch.Commands) == 0 {
		return
	}
	for range cluster.rng.IntN(maxDeliveryCopies + 1) {
		cluster.deliverCopyAt(cluster.now+cluster.randomCopyDelay(), delivery)
	}
}

// randomCopyDelay returns a delay of a fraction of a second to three seconds, or of up to two leases.
func (cluster *simCluster) randomCopyDelay() time.Duration {
	longest := 3 * time.Second
	if cluster.rng.IntN(2) == 0 {
		longest = 2 * cluster.workerLease()
	}
	return cluster.tick * time.Duration(1+cluster.rng.IntN(int(longest/cluster.tick)))
}

// deliverCopyAt makes a copy of a delivery arrive at the given time, or once the worker can receive it
// and go on.
func (cluster *simCluster) deliverCopyAt(at time.Duration, delivery Deliver) {
	cluster.scheduledActions = append(cluster.scheduledActions, func() bool {
		f := cluster.workers[delivery.Machine]
		if f == nil || f.dead {
			return true
		}
		if cluster.now < at || cluster.isHung(f.Machine) || cluster.cutWorkers[f.Machine] {
			return false
		}
		f.Seq++
		cluster.executeDelivery(f, delivery.CommandBatch)
		return true
	})
}
