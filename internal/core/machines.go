package core

import (
	"pepperlever/internal/core/worker"
)

// addMachine enters a machine that has not been heard of before.
func (c *Core) addMachine(id string) *worker.Machine {
	m := c.machines.Add(id, c.now.Steady)
	c.requestRound()
	return m
}

// removeMachine forgets a machine that is gone for good.
func (c *Core) removeMachine(id string) {
	c.machines.Remove(id)
	c.rebalancer.forget(id)
}
