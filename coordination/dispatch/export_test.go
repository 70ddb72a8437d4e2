package dispatch

// SetRandom makes a table draw its random numbers from a function.
func (t *Table) SetRandom(random func() float64) { t.random = random }
