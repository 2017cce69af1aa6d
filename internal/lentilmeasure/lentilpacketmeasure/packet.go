// Package lentilpacketmeasure measures how many packets a balancer process forwards per
// second and core, compared to a plain UDP forwarder. It also measures the latency that the
// whole path adds to an answer.
package lentilpacketmeasure

import (
	"context"
	"encoding/base64"
	"net"
	"net/netip"
	"os"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/internal/lentillab"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "packets",
	Description: "packets per second and core through a balancer process, against a plain UDP forwarder, and the latency that the path adds",
	Run:         run,
}

const (
	// startTimeout limits the start of the site.
	startTimeout = 30 * time.Second
	// sendDuration is how long packets are sent.
	sendDuration = 3 * time.Second
	// shortSendDuration is the same in a short run.
	shortSendDuration = time.Second
	// packetBytes is the length of the sent packets, as long as those of callers.
	packetBytes = 1200
	// senders is the number of goroutines that send.
	senders = 2
	// settleDelay is the time after sending in which the last packets reach the sink.
	settleDelay = time.Second
)

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	lab, err := lentillab.New(setup.Binaries)
	if err != nil {
		return nil, err
	}
	defer lab.Close()
	plan := lentillab.Consorzio()
	plan.Balancers = 1
	plan.Services = plan.Services[:1]
	plan.Services[0].Copies, plan.Services[0].WorkDuration = 1, time.Millisecond
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	site, err := lab.StartSite(startCtx, plan)
	if err != nil {
		return nil, err
	}
	duration := sendDuration
	if setup.Short {
		duration = shortSendDuration
	}
	setup.Progressf("packets: measuring the latency that the path adds")
	latencyFigures, err := measureAddedLatency(ctx, site, duration)
	if err != nil {
		return nil, err
	}
	setup.Progressf("packets: measuring a balancer, then a plain forwarder")
	balancer, err := measureBalancer(ctx, lab, site, duration)
	if err != nil {
		return nil, err
	}
	plain, err := measurePlainForwarder(duration)
	if err != nil {
		return nil, err
	}
	return append(latencyFigures, lentilfigure.New("packets.perCore", balancer, "packets/s/core").WithBaseline("plain UDP forwarder", plain)), nil
}

// measureBalancer sends packets of an established flow through the balancer to a sink. It
// returns how many packets the balancer forwards per second of processor time.
func measureBalancer(ctx context.Context, lab *lentillab.Lab, site *lentillab.RunningSite, duration time.Duration) (rate float64, err error) {
	sink, err := newSink()
	if err != nil {
		return 0, err
	}
	defer sink.close()
	packet, err := establishedPacket(lab, sink.address())
	if err != nil {
		return 0, err
	}
	balancer := site.Balancers()[0]
	to := netip.AddrPortFrom(balancer.IP(), site.Site().Services[0].Port)
	before, err := processorTime(balancer.Process().PID())
	if err != nil {
		return 0, err
	}
	if err = send(ctx, packet, to, duration); err != nil {
		return 0, err
	}
	after, err := processorTime(balancer.Process().PID())
	if err != nil {
		return 0, err
	}
	return float64(sink.count()) / (after - before).Seconds(), nil
}

// establishedPacket returns a packet of an established flow. The sink is the place in its
// connection ID.
func establishedPacket(lab *lentillab.Lab, sink netip.AddrPort) (packet []byte, err error) {
	text, err := os.ReadFile(lab.Path("key-1"))
	if err != nil {
		return nil, err
	}
	secret, err := base64.StdEncoding.DecodeString(string(text[:len(text)-1]))
	if err != nil {
		return nil, err
	}
	ring, err := lentilkey.New([]lentilkey.KeyDoc{{ID: 1, Secret: secret}})
	if err != nil {
		return nil, err
	}
	sealer, err := ring.Sealer()
	if err != nil {
		return nil, err
	}
	const fixedBit = 0x40
	packet = sealer.AppendID([]byte{fixedBit}, lentilid.NewPlace(sink, 1, 1, 1), 1)
	return append(packet, make([]byte, packetBytes-len(packet))...), nil
}

// measurePlainForwarder returns how many packets a forwarder that only copies datagrams
// forwards per second of processor time.
func measurePlainForwarder(duration time.Duration) (rate float64, err error) {
	sink, err := newSink()
	if err != nil {
		return 0, err
	}
	defer sink.close()
	in, err := listenLoopback()
	if err != nil {
		return 0, err
	}
	defer func() { _ = in.Close() }()
	spent := make(chan time.Duration, 1)
	go func() { spent <- forwardDatagrams(in, sink.address()) }()
	if err = send(context.Background(), make([]byte, packetBytes), in.LocalAddr().(*net.UDPAddr).AddrPort(), duration); err != nil {
		return 0, err
	}
	_ = in.Close()
	return float64(sink.count()) / (<-spent).Seconds(), nil
}
