package job

import (
	"strconv"
	"strings"

	"pepperlever/internal/protocol"
)

// maxIDBytes is the maximum length of a job ID.
const maxIDBytes = 80

// taskSeparator separates the job ID from the index in a task ID.
const taskSeparator = '/'

// TaskID returns the ID of task i of the job.
func (s *Spec) TaskID(i int) string { return s.ID + string(taskSeparator) + strconv.Itoa(i) }

// ParseTaskID splits a task ID into the job ID and the task index, and reports whether it is valid.
func ParseTaskID(id string) (jobID string, index int, ok bool) {
	separator := strings.LastIndexByte(id, taskSeparator)
	if separator < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(id[separator+1:])
	ok = err == nil && index >= 0 && index < MaxTasks && ValidID(id[:separator])
	return id[:separator], index, ok
}

// ValidID reports whether id is well-formed as a job ID, so that it can be part of a store key.
func ValidID(id string) bool {
	if !strings.HasPrefix(id, protocol.JobPrefix) || len(id) == len(protocol.JobPrefix) || len(id) > maxIDBytes {
		return false
	}
	for _, char := range []byte(id) {
		if !isIDChar(char) {
			return false
		}
	}
	return true
}

func isIDChar(char byte) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return true
	}
	return char == '-' || char == '_' || char == '.'
}
