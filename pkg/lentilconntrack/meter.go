package lentilconntrack

import (
	"math"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// utilizationWindow is the time constant with which the use of the slots is smoothed. It is longer than the 3 s between
	// statuses on large sites. With 1 s, more of the differences between copies are due to chance: at a load of .75 with 60
	// balancers, .0011 of the requests were late instead of .0009, and there were .80 additional offers instead of .71.
	utilizationWindow = 4 * time.Second
	// serviceTimeWeight is the weight of a new measurement in the mean service time. At the usual 30 requests a second of
	// a copy with two slots, this covers about two seconds.
	serviceTimeWeight = 1.0 / 128
	// usualServiceTimeWeight is the weight of a new measurement in the service time that is usual for the upstream. It covers
	// half a minute, which is longer than upstreams usually fail.
	usualServiceTimeWeight = 1.0 / 1024
	// suddenServiceTimeShare is the share of the usual service time below which a shorter one isn't believed. Smaller
	// differences occur by chance in the measurements of some seconds.
	suddenServiceTimeShare = 0.85
	// minMeasurements is the number of measurements from which the mean service time is reported. Fewer of them would make
	// copies of the same speed look up to several times faster than others.
	minMeasurements = 32
	// serviceTimeUnit is the unit of lentilflow.Load.ServiceTime.
	serviceTimeUnit = 100 * time.Microsecond
)

// meter measures how much the slots of the upstream are used, and how long a request takes that finds a free one.
type meter struct {
	// occupied is the smoothed number of requests at the upstream and waiting at the agent, as of updatedAt.
	occupied  float64
	updatedAt time.Time
	// serviceTime is the mean of all measurements until there are 1/serviceTimeWeight of them, then a moving one.
	serviceTime time.Duration
	// usualServiceTime is the same over a longer time. An upstream that fails requests answers them sooner; as its answers
	// can't be read, a service time below the usual one isn't believed until it lasts.
	usualServiceTime time.Duration
	measurements     int
}

// advance smooths the number of requests, which hasn't changed since the last event.
func (m *meter) advance(now time.Time, requests int) {
	if !m.updatedAt.IsZero() {
		m.occupied += (float64(requests) - m.occupied) * smoothingShare(now.Sub(m.updatedAt))
	}
	m.updatedAt = now
}

// deduct removes one request from the smoothed number for the given time until now. The smoothing is linear, so the
// result is the same as if the request hadn't been counted in that time.
func (m *meter) deduct(elapsed time.Duration) {
	m.occupied = max(0, m.occupied-smoothingShare(elapsed))
}

// smoothingShare returns the share that the last d have in a smoothed value.
func smoothingShare(d time.Duration) float64 {
	return -math.Expm1(-d.Seconds() / utilizationWindow.Seconds())
}

// recordServiceTime records how long a request took that found a free slot.
func (m *meter) recordServiceTime(took time.Duration) {
	m.measurements++
	first := 1 / float64(m.measurements)
	m.serviceTime += time.Duration(max(first, serviceTimeWeight) * float64(took-m.serviceTime))
	m.usualServiceTime += time.Duration(max(first, usualServiceTimeWeight) * float64(took-m.usualServiceTime))
}

// forgetServiceTime starts the mean service time anew for another run of the upstream.
func (m *meter) forgetServiceTime() { m.serviceTime, m.usualServiceTime, m.measurements = 0, 0, 0 }

// addTo adds the measurements to a load. Nothing is added before the first request was answered.
func (m *meter) addTo(load *lentilflow.Load, requests int, routesOccupancy float64) {
	if m.measurements < minMeasurements {
		return
	}
	const hundredths = 100
	slots := int(load.Slots)
	serviceTime := max(m.serviceTime, 1)
	if float64(serviceTime) < suddenServiceTimeShare*float64(m.usualServiceTime) {
		serviceTime = m.usualServiceTime
	}
	occupied := m.occupied * float64(serviceTime) / float64(max(m.serviceTime, 1))
	load.Utilization = saturate(max(0, occupied+routesOccupancy) / float64(slots) * hundredths)
	load.ServiceTime = max(1, saturate(float64(serviceTime)/float64(serviceTimeUnit)))
	load.Waiting = saturate(float64(max(0, requests-slots)))
}

func saturate(x float64) uint16 { return uint16(min(math.Round(x), math.MaxUint16)) }

// trackRequestData records new data of a client's request. A request that is sent in several packets doesn't occupy a
// slot before the last of them has arrived, so the time since the one before is deducted. Retransmissions don't count:
// a client repeats a request whose answer takes long.
func (t *Tracker) trackRequestData(now time.Time, f *flow, sequence uint32) {
	others := t.requestsInFlight
	if f.requestInFlight {
		if int32(sequence-f.dataSequence) <= 0 {
			return
		}
		t.meter.deduct(now.Sub(f.dataAt))
		others--
	}
	f.dataAt, f.dataSequence, f.foundSlot = now, sequence, others < t.slots()
}
