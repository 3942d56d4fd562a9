package federation

import (
	"fmt"
	"strconv"
	"strings"
)

// LocalIDPrefix is the prefix of the local IDs of jobs that were accepted from other sites.
const LocalIDPrefix = "req-gw-"

// localID returns the local ID of an accepted job. It contains the epoch, so that a job that is
// handed off to this site again under another epoch gets a different ID.
func localID(id IncomingID) string {
	return fmt.Sprintf("%s%s-%d", LocalIDPrefix, id.Origin, id.Epoch)
}

// ParseLocalID returns the origin and the epoch that a local ID was made from.
func ParseLocalID(text string) (id IncomingID, ok bool) {
	rest, found := strings.CutPrefix(text, LocalIDPrefix)
	separator := strings.LastIndexByte(rest, '-')
	if !found || separator < 0 {
		return IncomingID{}, false
	}
	epoch, err := strconv.ParseUint(rest[separator+1:], 10, 64)
	return IncomingID{Site(rest[:separator]), Epoch(epoch)}, err == nil
}
