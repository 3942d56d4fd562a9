// Command standins2 runs the cases of the second independent review. It starts the project's own
// controllers as separate processes with the commands of the deploy file, and small stand-ins of the
// state service, the cloud, the workers and the users on loopback addresses.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: a line for each event, with the seconds since the start of the case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

// add writes one line.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
