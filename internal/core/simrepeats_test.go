package core

import (
	"time"

	"pepperlever/internal/protocol"
)

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

// repeatedMessageShare is the number of messages, transactions and requests of controllers of which one is
// repeated.
const repeatedMessageShare = 6

// drawRepeat reports whether a message of a controller arrives once more, and when.
func (cluster *simCluster) drawRepeat() (at time.Duration, repeated bool) {
	if !cluster.repeatMessages || cluster.rng.IntN(repeatedMessageShare) > 0 {
		return 0, false
	}
	return cluster.now + cluster.randomCopyDelay(), true
}

// repeatEffect makes a copy of what a controller has sent arrive once more, whatever has become of the
// controller. Nobody waits for the answer.
func (cluster *simCluster) repeatEffect(node string, e Effect) {
	at, repeated := cluster.drawRepeat()
	if !repeated {
		return
	}
	cluster.scheduledActions = append(cluster.scheduledActions, func() bool {
		if cluster.now < at {
			return false
		}
		switch e := e.(type) {
		case SendPeer:
			cluster.sendPeer(node, e)
		case StoreTxn:
			cluster.repeatTxn(e.Txn)
		case RequestRental:
			cluster.repeatRental(e.Rental)
		case ReleaseMachines:
			cluster.repeatRelease(e.Machines)
		}
		return true
	})
}

// repeatTxn executes a transaction whose sender does not wait for its outcome.
func (cluster *simCluster) repeatTxn(txn protocol.Txn) {
	if !cluster.outage && len(txn.Then) > 0 && cluster.fitsStoreLimits(txn) {
		cluster.commitTxn(txn)
	}
}

// repeatRental rents machines that nobody expects, if the request has been refused before.
func (cluster *simCluster) repeatRental(rental protocol.Rental) {
	if cluster.grantedRentals[rental.Request] || len(cluster.workers) >= cluster.maxMachines || cluster.isZoneFull(rental.Zone) {
		return
	}
	cluster.grantedRentals[rental.Request] = true
	for range rental.Count {
		cluster.workers[cluster.addWorker(rental.Zone, rental.Spot)].Type = rental.Type
	}
}

// repeatRelease releases machines that are still there.
func (cluster *simCluster) repeatRelease(machines []string) {
	for _, m := range machines {
		delete(cluster.workers, m)
	}
}
