package job

import (
	"strconv"
	"strings"

	"pepperlever/internal/protocol"
)

// maxIDBytes is how long a job ID may be.
const maxIDBytes = 80

// taskSeparator stands between the job ID and the index in a task ID.
const taskSeparator = '/'

// TaskID names task i of the job.
func (s *Spec) TaskID(i int) string { return s.ID + string(taskSeparator) + strconv.Itoa(i) }

// ParseTaskID splits a task ID into its job ID and its index.
func ParseTaskID(id string) (jobID string, index int, ok bool) {
	cut := strings.LastIndexByte(id, taskSeparator)
	if cut < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(id[cut+1:])
	ok = err == nil && index >= 0 && index < MaxTasks && ValidID(id[:cut])
	return id[:cut], index, ok
}

// ValidID tells whether id has the form of a job ID and can be part of a key.
func ValidID(id string) bool {
	if !strings.HasPrefix(id, protocol.JobPrefix) || len(id) == len(protocol.JobPrefix) || len(id) > maxIDBytes {
		return false
	}
	for _, char := range []byte(id) {
		if !validIDChar(char) {
			return false
		}
	}
	return true
}

func validIDChar(char byte) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return true
	}
	return char == '-' || char == '_' || char == '.'
}
