package lentilpacketmodel

import (
	"cmp"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// uploadEvery selects one of so many arrivals, and of so many other clients, that upload Setup.UploadBytes.
	uploadEvery = 4
	// uploadPacketBytes is the payload of a packet of an upload, and uploadWindow the number of packets in flight.
	uploadPacketBytes = 1200
	uploadWindow      = 16
)

// uploads reports whether the client's present request is an upload.
func (c *client) uploads() bool {
	if c.arrival != nil {
		return c.arrival.upload
	}
	return c.sim.Setup.UploadBytes > 0 && c.number%uploadEvery == 0
}

// isAnswer reports whether a packet answers the client's present request.
func (c *client) isAnswer(packet lentilflow.Packet) bool {
	if c.uploads() {
		return packet.Acknowledged == c.sequence+1
	}
	return packet.Acknowledged == c.sequence
}

// startUpload acknowledges a flow that has just opened, and sends the first window of the upload.
func (c *client) startUpload() {
	c.state, c.uploadAcked, c.uploadSent = awaitingAnswer, 0, 0
	c.requestsMade++
	if c.requestsMade == 1 {
		c.send(lentilflow.Packet{Key: c.key, Flags: lentilflow.Acknowledge, Sequence: c.sequence + 1, Acknowledged: c.upstreamSequence + 1})
	}
	c.sendWindow()
	c.scheduleUploadResend(initialResendDelay)
}

// sendWindow sends the packets of the upload that fit into the window.
func (c *client) sendWindow() {
	for c.uploadSent < min(c.sim.Setup.UploadBytes, c.uploadAcked+uploadWindow*uploadPacketBytes) {
		c.sendUploadPacket(c.uploadSent)
		c.uploadSent = min(c.sim.Setup.UploadBytes, c.uploadSent+uploadPacketBytes)
	}
}

func (c *client) sendUploadPacket(offset int) {
	c.send(lentilflow.Packet{
		Key: c.key, Flags: lentilflow.Acknowledge, Sequence: c.sequence + 1 + uint32(offset), Acknowledged: c.upstreamSequence + 1,
		Length: min(uploadPacketBytes, c.sim.Setup.UploadBytes-offset),
	})
}

// scheduleUploadResend resends the first packet that isn't acknowledged after the delay, unless the upload has got on by then.
func (c *client) scheduleUploadResend(delay time.Duration) {
	attempt, acked := c.attempt, c.uploadAcked
	c.sim.After(delay, func() {
		if c.attempt != attempt || c.state != awaitingAnswer || c.uploadAcked != acked {
			return
		}
		if c.sim.Clock.Now().Sub(c.requestedAt) >= cmp.Or(c.sim.Setup.Deadline, defaultDeadline) {
			c.expire()
			return
		}
		// The last packet is resent once everything has been acknowledged and the answer is missing.
		c.sendUploadPacket(min(acked, (c.sim.Setup.UploadBytes-1)/uploadPacketBytes*uploadPacketBytes))
		c.scheduleUploadResend(min(2*delay, maxResendDelay))
	})
}

// handleUploadAck continues the upload after an acknowledgement.
func (c *client) handleUploadAck(packet lentilflow.Packet) {
	acked := int(packet.Acknowledged - (c.sequence + 1))
	if acked <= c.uploadAcked || acked > c.sim.Setup.UploadBytes {
		return
	}
	c.uploadAcked = acked
	c.sendWindow()
	c.scheduleUploadResend(initialResendDelay)
}

// receiveUpload records a packet of an upload, and acknowledges what has arrived without a gap. It returns the sequence
// number of the upload's first byte once the upload is complete, and for copies of its packets after that.
func (u *upstream) receiveUpload(packet lentilflow.Packet, flow *flowState) (first uint32, complete bool) {
	offset := int(int32(packet.Sequence - (flow.clientSequence + 1)))
	if offset < 0 {
		return flow.clientSequence + 1 - uint32(u.sim.Setup.UploadBytes), true
	}
	if flow.uploaded == nil {
		flow.uploaded = make(map[int]int)
	}
	flow.uploaded[offset] = packet.Length
	for flow.uploaded[flow.uploadedBytes] > 0 {
		flow.uploadedBytes += flow.uploaded[flow.uploadedBytes]
	}
	first = flow.clientSequence + 1
	u.sendToAgent(lentilflow.Packet{Key: packet.Key, Flags: lentilflow.Acknowledge, Sequence: flow.sequence + 1, Acknowledged: first + uint32(flow.uploadedBytes)})
	if flow.uploadedBytes < u.sim.Setup.UploadBytes {
		return first, false
	}
	flow.clientSequence += uint32(u.sim.Setup.UploadBytes)
	flow.uploaded, flow.uploadedBytes = nil, 0
	return first, true
}
