package lentilagent

// InFlight returns the number of requests that the copy is processing, without streams.
func (a *Agent) InFlight() int { return a.snapshot.Load().inFlight }

// Streams returns the number of streams that are open at the copy.
func (a *Agent) Streams() int { return a.snapshot.Load().streams }

// Queued returns the number of requests that wait for a slot.
func (a *Agent) Queued() int { return a.snapshot.Load().queued }

// HedgeShare returns the number of extra attempts and retries of the last second per first
// attempt.
func (a *Agent) HedgeShare() float64 { return a.snapshot.Load().hedgeShare }

// Capacity returns the copy's current capacity, in hundredths of a slot.
func (a *Agent) Capacity() uint16 { return a.snapshot.Load().capacity }

// Cold reports whether the copy is treated as cold.
func (a *Agent) Cold() bool { return a.snapshot.Load().cold }
