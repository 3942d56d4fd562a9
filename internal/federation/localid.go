package federation

import (
	"fmt"
	"strconv"
	"strings"
)

// LocalIDPrefix starts the IDs of jobs that were accepted from other sites.
const LocalIDPrefix = "req-gw-"

// localID is the ID of an accepted job here. It names the epoch, so that a job that
// comes again under another one is another job.
func localID(id IncomingID) string {
	return fmt.Sprintf("%s%s-%d", LocalIDPrefix, id.Origin, id.Epoch)
}

// ParseLocalID tells which epoch a local ID stands for.
func ParseLocalID(text string) (id IncomingID, ok bool) {
	rest, found := strings.CutPrefix(text, LocalIDPrefix)
	separator := strings.LastIndexByte(rest, '-')
	if !found || separator < 0 {
		return IncomingID{}, false
	}
	epoch, err := strconv.ParseUint(rest[separator+1:], 10, 64)
	return IncomingID{Site(rest[:separator]), Epoch(epoch)}, err == nil
}
