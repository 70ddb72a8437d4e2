package quarantine

import "time"

// settleTime is the time in which all nodes that reach each other know the endings that any of them observed.
const settleTime = 3 * time.Second

// keepPartVerdicts keeps the verdicts in force on parts of prompts until all nodes know the same endings, unless a response
// clears the parts. Otherwise later reports of other nodes, in which a sound part has more endings, release the deadly one.
// l.mu is held.
func (l *Ledger) keepPartVerdicts(verdicts map[Fingerprint]Verdict, endings []Ending, cleared map[Fingerprint]time.Time, now time.Time) {
	for f, v := range *l.verdicts.Load() {
		isKept := f.IsPart() && v.Quarantined(now) && len(v.Joint) == 0 && verdicts[f].Until.IsZero()
		if !isKept || now.Sub(v.lastEnding()) >= settleTime {
			continue
		}
		if v.validEndings(endings, cleared[f]) >= l.policy.PartEndings {
			verdicts[f] = v
		}
	}
}

// lastEnding returns the time of the last ending in the evidence of a verdict that holds a request or part back.
func (v Verdict) lastEnding() time.Time { return v.Evidence[len(v.Evidence)-1].At }

// validEndings returns the number of endings in the evidence of a verdict that are still known, did happen and are later
// than a response.
func (v Verdict) validEndings(endings []Ending, clearedAt time.Time) int {
	known := map[endingKey]bool{}
	for i := range endings {
		e := &endings[i]
		known[e.key()] = known[e.key()] || !e.isFalse()
	}
	valid := 0
	for i := range v.Evidence {
		e := &v.Evidence[i]
		if known[e.key()] && e.At.After(clearedAt) {
			valid++
		}
	}
	return valid
}
