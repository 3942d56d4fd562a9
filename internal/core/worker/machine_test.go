package worker

import (
	"testing"

	"pepperlever/internal/protocol"
)

func TestIsNewerComparesEpochsBeforeSequenceNumbers(t *testing.T) {
	m := &Machine{}
	m.Update(protocol.Report{Session: 2, Seq: 10}, 0)
	for _, c := range []struct {
		session, seq uint64
		want         bool
	}{{2, 10, false}, {2, 9, false}, {2, 11, true}, {1, 99, false}, {3, 1, true}} {
		if got := m.IsNewer(&protocol.Report{Session: c.session, Seq: c.seq}); got != c.want {
			t.Errorf("IsNewer(session %d, sequence number %d): got %v", c.session, c.seq, got)
		}
	}
}
