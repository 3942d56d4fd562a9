package stream

import (
	"bufio"
	"strings"
	"testing"
)

// A controller that was killed in the middle of a line made its peers log an
// error each time.
func TestLineCutShortIsNoMessage(t *testing.T) {
	lines := bufio.NewScanner(strings.NewReader("{\"s\":1}\n{}\n{\"t"))
	lines.Split(WholeLines)
	var got []string
	for lines.Scan() {
		got = append(got, lines.Text())
	}
	if strings.Join(got, " ") != `{"s":1} {}` || lines.Err() != nil {
		t.Errorf("got %q, %v", got, lines.Err())
	}
}
