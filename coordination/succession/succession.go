// Package succession decides which nodes a node asks side by side when it looks for the leader.
//
// It answers the load of a system that is partitioned: the nodes that precede the reachable ones in the order of
// succession are silent, and each of them takes a whole timeout.
package succession

// maxRound is the maximum number of nodes asked side by side, so that a hall that has lost its leader does not
// flood the next nodes with reports.
const maxRound = 16

// Rounds divides the candidates, given in the order of succession, into rounds. The candidates of a round are asked
// side by side, a round after the one before has failed. Rounds double up to maxRound, so that n silent candidates cost
// about log2(n) timeouts up to 16 candidates, and one more for each further 16.
//
// The last known leader is in the first round, together with the candidates that precede it: these were
// unreachable or could not lead, and looking for their return must not delay the reports to the leader.
func Rounds(candidates []string, leader string) [][]string {
	var rounds [][]string
	size := 1
	for i, c := range candidates {
		if c == leader {
			first := max(i+1-maxRound, 0)
			rounds = append(rounds, candidates[first:i+1])
			candidates = append(candidates[:first:first], candidates[i+1:]...)
			break
		}
	}
	for len(candidates) > 0 {
		n := min(size, maxRound, len(candidates))
		rounds = append(rounds, candidates[:n])
		candidates = candidates[n:]
		size *= 2
	}
	return rounds
}
