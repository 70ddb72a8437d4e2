package state

// Evacuation is the evacuation of a data hall. A stored Evacuation is immutable.
type Evacuation struct {
	Hall HallName `json:"hall"`
	// Since is the offset of the record that evacuated the hall.
	Since Offset `json:"since"`
}

// EvacuateHall evacuates a data hall, whose targets then get no new requests, or readmits it if Off is set.
type EvacuateHall struct {
	Hall HallName `json:"hall"`
	Off  bool     `json:"off,omitempty"`
}

// apply implements change.
func (c *EvacuateHall) apply(s *State, t *tx, at Offset) *Refusal {
	old := s.evacuations[c.Hall]
	switch {
	case c.Hall == "":
		return refuse(ReasonBadValue, "no hall named")
	case c.Off && old == nil:
		return refuse(ReasonHallAdmitted, "hall %s is not evacuated", c.Hall)
	case c.Off:
		put(t, s.evacuations, c.Hall, nil)
	case old != nil:
		return refuse(ReasonHallEvacuated, "hall %s is evacuated since %d", c.Hall, old.Since)
	default:
		put(t, s.evacuations, c.Hall, &Evacuation{Hall: c.Hall, Since: at})
	}
	return nil
}
