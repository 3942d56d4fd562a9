package core

import (
	"pepperlever/internal/core/worker"
)

// addMachine adds a machine that was unknown until now.
func (c *Core) addMachine(id string) *worker.Machine {
	m := c.machines.Add(id, c.now.Steady)
	c.requestRound()
	return m
}

// removeMachine removes a machine that is permanently gone.
func (c *Core) removeMachine(id string) {
	c.machines.Remove(id)
	c.rebalancer.forget(id)
}
