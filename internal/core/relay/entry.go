package relay

import (
	"fmt"
	"strconv"
	"strings"
)

// Entry records the final outcome of one attempt of a task.
type Entry struct {
	Job     string
	Index   int
	Attempt uint64
	Machine string
	// Reason is why the attempt exited. It is empty if no exit was reported but the attempt is not
	// on the machine and can never start there, for example because its start was refused.
	Reason string
}

// JobEntries holds the entries of one job in their stored form. Pages contain a list of JobEntries
// instead of a map from jobs to lists because the JSON library corrupts memory when it decodes such
// a map (see docs/incidents/apart.md).
type JobEntries struct {
	Job     string   `json:"j"`
	Entries []string `json:"s"`
}

// entryFieldCount is the number of space-separated fields in a stored entry.
const entryFieldCount = 4

// String returns the stored form of the entry, without the job.
func (e Entry) String() string {
	return fmt.Sprintf("%d %d %s %s", e.Index, e.Attempt, e.Machine, e.Reason)
}

// MalformedEntryError is returned for a stored entry that cannot be parsed.
type MalformedEntryError struct {
	Job   string
	Entry string
	Err   error
}

// Error implements the error interface.
func (e *MalformedEntryError) Error() string {
	return fmt.Sprintf("malformed entry %q of job %s: %v", e.Entry, e.Job, e.Err)
}

// Unwrap returns the underlying error.
func (e *MalformedEntryError) Unwrap() error { return e.Err }

// parseEntry parses the stored form of an entry of a job.
func parseEntry(job, stored string) (Entry, error) {
	fields := strings.Split(stored, " ")
	if len(fields) != entryFieldCount {
		return Entry{}, &MalformedEntryError{job, stored, fmt.Errorf("%d fields, want %d", len(fields), entryFieldCount)}
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
