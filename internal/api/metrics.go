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
	"pepperlever/internal/core/jobstats"
	"pepperlever/internal/httpserver"
	"pepperlever/internal/protocol"
)

// metrics counts responses by request kind and status, and records latencies by request kind.
type metrics struct {
	mu      *sync.Mutex
	answers map[string]int
	latency map[string]*hdrhistogram.Histogram
}

// Range of the latency histograms in microseconds, and their precision in significant digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	latencyDigits    = 2
)

func newMetrics() metrics {
	return metrics{mu: &sync.Mutex{}, answers: map[string]int{}, latency: map[string]*hdrhistogram.Histogram{}}
}

// requestKind maps a path to the kind of request. Labeling metrics by kind keeps the number of
// time series independent of the number of jobs.
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
	kind := requestKind(path)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers[fmt.Sprintf("answers{request=%q,status=\"%d\"}", kind, status)]++
	h := m.latency[kind]
	if h == nil {
		h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
		m.latency[kind] = h
	}
	// RecordValue fails only on values out of range, and the value is clamped.
	_ = h.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// recordUnread counts a request that could not be read.
func (m metrics) recordUnread(failure httpserver.ReadFailure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers[fmt.Sprintf("unread_requests{reason=%q}", string(failure))]++
}

// exposition returns the metrics in text exposition format, one per line.
func (m metrics) exposition() []byte {
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

// jobMetrics returns the metrics of jobs and pending tasks. Counters cover the time since this
// controller started.
func (a *API) jobMetrics() []byte {
	ans := a.call(func(req uint64) core.Command { return core.JobStatistics{Req: req} })
	stats, ok := ans.Body.(core.StatisticsReport)
	if !ok {
		return nil
	}
	var b strings.Builder
	for _, row := range stats.Rows {
		writeJobRow(&b, row)
	}
	fmt.Fprintf(&b, "pepperlever_longest_unanswered_seconds %.0f\n", stats.LongestUnanswered.Seconds())
	fmt.Fprintf(&b, "pepperlever_cancellations_owed %d\n", stats.Unacknowledged)
	fmt.Fprintf(&b, "pepperlever_unsure_seconds %.0f\n", stats.Staleness.Seconds())
	writePendingTasks(&b, "pepperlever_waiting_tasks", stats.Pending)
	writePendingTasks(&b, "pepperlever_planned_tasks", stats.Planned)
	fmt.Fprintf(&b, "pepperlever_unstored_claims %d\n", stats.UnstoredClaims)
	fmt.Fprintf(&b, "pepperlever_cascaded_cancellations_total %d\n", stats.Counters.CascadedCancellations)
	fmt.Fprintf(&b, "pepperlever_split_jobs_total %d\n", stats.Counters.SplitJobs)
	fmt.Fprintf(&b, "pepperlever_oversized_transactions_total %d\n", stats.Counters.OversizedTransactions)
	fmt.Fprintf(&b, "pepperlever_reappeared_tasks_total %d\n", stats.Counters.ReappearedTasks)
	fmt.Fprintf(&b, "pepperlever_raises_to_forget_total %d\n", stats.Counters.RaisesToForget)
	fmt.Fprintf(&b, "pepperlever_outdated_starts_total %d\n", stats.Counters.OutdatedStarts)
	return []byte(b.String())
}

// writeJobRow writes the number of jobs of a class or a team by their state, and the age of the oldest one
// that is pending.
func writeJobRow(b *strings.Builder, row jobstats.Row) {
	for _, count := range []struct {
		state string
		jobs  int
	}{
		{"accepted", row.Accepted},
		{"started", row.Started},
		{"done", row.Done},
		{"cancelled", row.Cancelled},
		{"largest_accepted", row.LargestAccepted},
		{"largest_started", row.LargestStarted},
	} {
		fmt.Fprintf(b, "pepperlever_jobs{%s=%q,state=%q} %d\n", row.Kind, row.Name, count.state, count.jobs)
	}
	fmt.Fprintf(b, "pepperlever_oldest_waiting_seconds{%s=%q} %.0f\n", row.Kind, row.Name, row.Oldest.Seconds())
}

// writePendingTasks writes the number of pending tasks by the reason why they are pending.
func writePendingTasks(b *strings.Builder, metric string, pending core.PendingTasks) {
	fmt.Fprintf(b, "%s{reason=\"awaits\"} %d\n", metric, pending.Dependencies)
	fmt.Fprintf(b, "%s{reason=\"limit\"} %d\n", metric, pending.TeamLimit)
	fmt.Fprintf(b, "%s{reason=\"room\"} %d\n", metric, pending.Capacity)
}
