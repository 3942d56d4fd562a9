package stream

import (
	"bufio"
	"strings"
	"testing"
)

// A controller that is killed while it writes a line leaves an incomplete one, for which its
// peers must not log an error.
func TestIncompleteLineIsDiscarded(t *testing.T) {
	lines := bufio.NewScanner(strings.NewReader("{\"s\":1}\n{}\n{\"t"))
	lines.Split(ScanCompleteLines)
	var got []string
	for lines.Scan() {
		got = append(got, lines.Text())
	}
	if strings.Join(got, " ") != `{"s":1} {}` || lines.Err() != nil {
		t.Errorf("got lines %q, error %v, want only the two complete lines", got, lines.Err())
	}
}
