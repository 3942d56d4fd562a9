package relay

import (
	"fmt"
	"strconv"
	"strings"
)

// Entry is the final outcome of one attempt of a task.
type Entry struct {
	Job     string
	Index   int
	Attempt uint64
	Machine string
	// Reason is why the attempt has exited. It is empty for an attempt that was not started
	// and never will be.
	Reason string
}

// JobEntries holds the entries of one job, each in its stored form. A list of these is
// stored rather than a map from jobs to lists: the JSON library corrupts memory where it
// reads such a map (docs/incidents/apart.md).
type JobEntries struct {
	Job     string   `json:"j"`
	Entries []string `json:"s"`
}

// entryFields is the number of space-separated fields of a stored entry.
const entryFields = 4

// String is the stored form of an entry within its job.
func (e Entry) String() string {
	return fmt.Sprintf("%d %d %s %s", e.Index, e.Attempt, e.Machine, e.Reason)
}

// MalformedEntryError reports a stored entry that can't be parsed.
type MalformedEntryError struct {
	Job   string
	Entry string
	Err   error
}

// Error names the entry and its job.
func (e *MalformedEntryError) Error() string {
	return fmt.Sprintf("malformed entry %q of job %s: %v", e.Entry, e.Job, e.Err)
}

// Unwrap returns the cause.
func (e *MalformedEntryError) Unwrap() error { return e.Err }

// parseEntry reads the stored form of an entry of a job.
func parseEntry(job, stored string) (Entry, error) {
	fields := strings.Split(stored, " ")
	if len(fields) != entryFields {
		return Entry{}, &MalformedEntryError{job, stored, fmt.Errorf("%d fields, want %d", len(fields), entryFields)}
	}
	index, err := strconv.Atoi(fields[0])
	if err != nil {
		return Entry{}, &MalformedEntryError{job, stored, err}
	}
	attempt, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return Entry{}, &MalformedEntryError{job, stored, err}
	}
	return Entry{
		Job:     job,
		Index:   index,
		Attempt: attempt,
		Machine: fields[2],
		Reason:  fields[3],
	}, nil
}
