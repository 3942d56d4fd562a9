package api

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pepperlever/internal/core"
	"pepperlever/internal/protocol"
)

// metrics counts answers and keeps their latencies by kind of request.
type metrics struct {
	mu      *sync.Mutex
	answers map[string]int
	latency map[string]*hdrhistogram.Histogram
}

// Range and precision of the latencies, in microseconds.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	latencyDigits    = 2
)

func newMetrics() metrics {
	return metrics{mu: &sync.Mutex{}, answers: map[string]int{}, latency: map[string]*hdrhistogram.Histogram{}}
}

// requestKind groups paths, so that the figures do not grow with the jobs.
func requestKind(path string) string {
	switch {
	case path == protocol.PathReport:
		return "report"
	case path == protocol.PathHealth:
		return "health"
	case path == protocol.PathJobs:
		return "submit"
	case strings.HasSuffix(path, "/"+protocol.PathCancel):
		return "cancel"
	}
	return "status"
}

func (m metrics) record(path string, status int, took time.Duration) {
	k := requestKind(path)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers[fmt.Sprintf("answers{request=%q,status=\"%d\"}", k, status)]++
	h := m.latency[k]
	if h == nil {
		h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
		m.latency[k] = h
	}
	// Only values out of range fail, and the range is kept here.
	_ = h.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// text writes the figures one a line.
func (m metrics) text() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(m.answers)) {
		fmt.Fprintf(&b, "pepperlever_%s %d\n", k, m.answers[k])
	}
	for _, k := range slices.Sorted(maps.Keys(m.latency)) {
		for _, q := range []float64{50, 90, 99} {
			fmt.Fprintf(&b, "pepperlever_latency_us{request=%q,quantile=\"%v\"} %d\n", k, q/100, m.latency[k].ValueAtQuantile(q))
		}
	}
	return []byte(b.String())
}

// jobMetrics tells what has become of jobs since this controller began.
func (a *API) jobMetrics() []byte {
	ans := a.call(func(req uint64) core.Command { return core.JobStatistics{Req: req} })
	s, ok := ans.Body.(core.StatisticsReport)
	if !ok {
		return nil
	}
	var b strings.Builder
	for _, r := range s.Rows {
		for _, f := range []struct {
			state string
			jobs  int
		}{{"accepted", r.Accepted}, {"started", r.Started}, {"done", r.Done}, {"cancelled", r.Cancelled},
			{"largest_accepted", r.LargestAccepted}, {"largest_started", r.LargestStarted}} {
			fmt.Fprintf(&b, "pepperlever_jobs{%s=%q,state=%q} %d\n", r.Kind, r.Name, f.state, f.jobs)
		}
		fmt.Fprintf(&b, "pepperlever_oldest_waiting_seconds{%s=%q} %.0f\n", r.Kind, r.Name, r.Oldest.Seconds())
	}
	fmt.Fprintf(&b, "pepperlever_longest_unanswered_seconds %.0f\n", s.LongestUnanswered.Seconds())
	fmt.Fprintf(&b, "pepperlever_cancellations_owed %d\n", s.Unacknowledged)
	fmt.Fprintf(&b, "pepperlever_unsure_seconds %.0f\n", s.Staleness.Seconds())
	writePendingTasks(&b, "pepperlever_waiting_tasks", s.Pending)
	writePendingTasks(&b, "pepperlever_planned_tasks", s.Planned)
	fmt.Fprintf(&b, "pepperlever_unstored_claims %d\n", s.UnstoredClaims)
	fmt.Fprintf(&b, "pepperlever_cascaded_cancellations_total %d\n", s.Counters.CascadedCancellations)
	fmt.Fprintf(&b, "pepperlever_split_jobs_total %d\n", s.Counters.SplitJobs)
	fmt.Fprintf(&b, "pepperlever_oversized_transactions_total %d\n", s.Counters.OversizedTransactions)
	return []byte(b.String())
}

// writePendingTasks writes how many tasks wait, by what they wait for.
func writePendingTasks(b *strings.Builder, metric string, pending core.PendingTasks) {
	fmt.Fprintf(b, "%s{reason=\"awaits\"} %d\n", metric, pending.Dependencies)
	fmt.Fprintf(b, "%s{reason=\"limit\"} %d\n", metric, pending.TeamLimit)
	fmt.Fprintf(b, "%s{reason=\"room\"} %d\n", metric, pending.Capacity)
}
