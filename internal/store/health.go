package store

import (
	"log/slog"
	"sync"
	"time"

	"pepperlever/internal/core"
)

// health notifies the core when the key-value store becomes unreachable or reachable.
type health struct {
	emit func(core.Command)

	mu         sync.Mutex
	down       bool
	lastAnswer time.Time
}

// record records whether a request was answered. The key-value store counts as down once no
// request has been answered for longer than the grace period.
func (h *health) record(answered bool, grace time.Duration) {
	if !h.update(answered, grace) {
		return
	}
	if answered {
		slog.Info("store is reachable again")
	} else {
		slog.Info("store is unreachable")
	}
	h.emit(core.StoreHealth{OK: answered})
}

// update updates the state and reports whether it has changed.
func (h *health) update(answered bool, grace time.Duration) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if answered || h.lastAnswer.IsZero() {
		h.lastAnswer = now
	}
	down := !answered && now.Sub(h.lastAnswer) > grace
	changed = down != h.down && (down || answered)
	if changed {
		h.down = down
	}
	return changed
}
