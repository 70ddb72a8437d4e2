package placement

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/troutmast/troutmast/state"
)

// groupSizeSeparator separates the epoch and the number of members in the name of a group.
const groupSizeSeparator = "-"

// maxNamedSize is the maximum number of members that a name states. It bounds what an entry of another writer makes a leader allocate.
const maxNamedSize = 256

// newGroupName returns the name of a group. It states the number of members: instances report only their own ranks, and a leader that did
// not form the group must not take it for complete because the configuration has smaller groups by then.
func newGroupName(epoch state.Epoch, members int) state.GroupName {
	return state.GroupName(fmt.Sprintf("g%d%s%d", epoch, groupSizeSeparator, members))
}

// namedSize returns the number of members that the name of a group states. It reports false for a name that states none, as those
// of earlier builds.
func namedSize(name state.GroupName) (int, bool) {
	_, text, found := strings.Cut(string(name), groupSizeSeparator)
	n, err := strconv.Atoi(text)
	return n, found && err == nil && n >= 1 && n <= maxNamedSize
}
