package lentilagent

// InFlight returns how many requests the copy works on now, streams not among them.
func (a *Agent) InFlight() int { return a.snapshot.Load().inFlight }

// Streams returns how many streams the copy holds now.
func (a *Agent) Streams() int { return a.snapshot.Load().streams }

// Queued returns how many requests wait for a slot now.
func (a *Agent) Queued() int { return a.snapshot.Load().queued }

// Capacity returns what the copy bears now, in hundredths of a slot.
func (a *Agent) Capacity() uint16 { return a.snapshot.Load().capacity }

// Cold reports whether the copy counts as cold.
func (a *Agent) Cold() bool { return a.snapshot.Load().cold }
