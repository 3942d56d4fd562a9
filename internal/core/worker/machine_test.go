package worker

import (
	"testing"

	"pepperlever/internal/protocol"
)

func TestIsNewerComparesEpochsBeforeSequenceNumbers(t *testing.T) {
	m := &Machine{}
	m.Update(protocol.Report{WorkerEpoch: 2, Seq: 10}, 0)
	for _, c := range []struct {
		epoch, seq uint64
		want       bool
	}{{2, 10, false}, {2, 9, false}, {2, 11, true}, {1, 99, false}, {3, 1, true}} {
		if got := m.IsNewer(&protocol.Report{WorkerEpoch: c.epoch, Seq: c.seq}); got != c.want {
			t.Errorf("IsNewer(epoch %d, sequence number %d): got %v", c.epoch, c.seq, got)
		}
	}
}
