package lentilpacket

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilserver"
	"lentilstair.example/lentilstair/internal/lentilsetting"
	"lentilstair.example/lentilstair/pkg/lentilera"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilfollow"
	"lentilstair.example/lentilstair/pkg/lentillink"
	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

const (
	// testRate is 10 Mbit/s.
	testRate = 10_000_000 / 8
	// testPacketBytes is the size of the test's packets.
	testPacketBytes = 1272
	// testBurst is how many of them are sent at once.
	testBurst = 16
)

// receiver collects the first four bytes of the datagrams that arrive at a socket of the loopback interface.
type receiver struct {
	conn *net.UDPConn

	mu      sync.Mutex
	numbers []uint32
	lastAt  time.Time
}

func newReceiver(t *testing.T) (r *receiver) {
	t.Helper()
	r = &receiver{conn: listenLoopback(t)}
	go lentilserver.ServeDatagrams(r.conn, make([]byte, readBufferSize), func(data []byte, _ netip.AddrPort) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.numbers, r.lastAt = append(r.numbers, binary.BigEndian.Uint32(data)), time.Now()
	})
	return r
}

func listenLoopback(t *testing.T) (conn *net.UDPConn) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func (r *receiver) address() netip.AddrPort { return r.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// await waits for so many datagrams and returns their numbers.
func (r *receiver) await(t *testing.T, count int) (numbers []uint32) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		numbers = append(numbers[:0], r.numbers...)
		r.mu.Unlock()
		if len(numbers) >= count || time.Now().After(deadline) {
			break
		}
	}
	if len(numbers) != count {
		t.Fatalf("%d datagrams arrived, want %d", len(numbers), count)
	}
	return numbers
}

// testCodec takes the first four bytes of a packet for its sequence number and the others for data.
var testCodec = lentilflow.Codec{
	ParseClientPacket: func(data []byte) (p lentilflow.Packet, err error) {
		return lentilflow.Packet{Key: testFlow, Flags: lentilflow.Acknowledge, Sequence: binary.BigEndian.Uint32(data), Length: len(data)}, nil
	},
}

var testFlow = lentilflow.NewKey(lentilflow.NewEndpoint([4]byte{100, 64, 0, 7}, 40001), lentilflow.NewEndpoint([4]byte{198, 18, 0, 1}, 443))

func newLinkBalancer(t *testing.T, bytesPerSecond int) (b *Balancer) {
	t.Helper()
	b = &Balancer{Codec: testCodec, Counts: &Counts{Link: &LinkCounts{}}, linkQueued: make(chan struct{}, 1), peerConn: listenLoopback(t)}
	b.link.BytesPerSecond = bytesPerSecond
	return b
}

// sendPacket sends a client's packet with the given number as the balancer does.
func (b *Balancer) sendPacket(number uint32, to netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	packet := make([]byte, testPacketBytes)
	binary.BigEndian.PutUint32(packet, number)
	b.frameBuffer = append(b.frameBuffer[:0], packet...)
	a := lentilplacement.Action{Kind: lentilplacement.SendCarry, To: lentilflow.EndpointOf(to), Key: testFlow, Carry: lentilflow.Carry{Packet: packet}}
	b.transmit(b.packetDatagram(&a))
}

// TestLinkQueue guards the rate and the order of datagrams on a limited link, and that a control message isn't kept
// waiting by the packets before it.
func TestLinkQueue(t *testing.T) {
	b, r := newLinkBalancer(t, testRate), newReceiver(t)
	ctx, stop := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	workers.Go(func() { b.serveLink(ctx) })
	const packets, control = 100, 1 << 20
	start := time.Now()
	for n := range uint32(packets) {
		b.sendPacket(n, r.address())
	}
	b.mu.Lock()
	sent := packets - b.link.Stats().QueuedBytes()/(testPacketBytes+28)
	b.send(binary.BigEndian.AppendUint32(b.frameBuffer[:0], control), lentilflow.EndpointOf(r.address()))
	b.mu.Unlock()
	numbers := r.await(t, packets+1)
	stop()
	workers.Wait()
	next := uint32(0)
	for i, n := range numbers {
		switch {
		case n == control:
			if i > sent {
				t.Errorf("the control message is sent after %d packets, want %d", i, sent)
			}
		case n != next:
			t.Fatalf("packet %d is sent, want %d", n, next)
		default:
			next++
		}
	}
	// The last of a burst may exceed the tokens.
	if took, least := r.lastAt.Sub(start), (packets-testBurst-2)*time.Second*(testPacketBytes+28)/(testRate*95/100); took < least {
		t.Errorf("sent within %s, want at least %s", took, least)
	}
	if waited := b.link.Stats().Waited(lentillink.Short) + b.link.Stats().Waited(lentillink.Bulk); waited == 0 || waited > packets-testBurst {
		t.Errorf("%d packets waited", waited)
	}
}

// TestUnlimitedLink guards the path without the setting: nothing is queued, counted or allocated.
func TestUnlimitedLink(t *testing.T) {
	b, r := newLinkBalancer(t, 0), newReceiver(t)
	packet := make([]byte, 100)
	a := lentilplacement.Action{Kind: lentilplacement.SendCarry, To: lentilflow.EndpointOf(r.address()), Key: testFlow, Carry: lentilflow.Carry{Packet: packet}}
	b.frameBuffer = append(b.frameBuffer, packet...)
	if allocations := testing.AllocsPerRun(100, func() { b.transmit(b.packetDatagram(&a)) }); allocations != 0 {
		t.Errorf("%g allocations for a datagram", allocations)
	}
	b.observeLink()
	if stats := b.link.Stats(); stats.SentBytes() != 0 || stats.QueuedBytes() != 0 || b.Counts.Unsent.Load() != 0 {
		t.Errorf("%d bytes counted, %d queued, %d datagrams unsent", stats.SentBytes(), stats.QueuedBytes(), b.Counts.Unsent.Load())
	}
}

// emptyStore is a store without agents, routes and failure domains out of service.
func emptyStore() Store {
	directory := Directory{
		Publish:  func(context.Context, Peer) error { return nil },
		List:     func(context.Context) ([]Peer, error) { return nil, nil },
		Find:     func(context.Context, string) (Peer, bool, error) { return Peer{}, false, nil },
		Withdraw: func(context.Context, Peer) error { return nil },
	}
	return Store{
		Configuration: lentilfollow.Source[lentilflow.Configuration]{
			List: func(context.Context) ([]lentilfollow.Change[lentilflow.Configuration], lentilera.Position, error) {
				return nil, lentilera.Position{Revision: 1}, nil
			},
			Watch: func(ctx context.Context, from uint64) ([]lentilfollow.Change[lentilflow.Configuration], lentilera.Position, error) {
				<-ctx.Done()
				return nil, lentilera.Position{Revision: from}, ctx.Err()
			},
		},
		DomainsOut: lentilfollow.Source[struct{}]{
			List: func(context.Context) ([]lentilfollow.Change[struct{}], lentilera.Position, error) {
				return nil, lentilera.Position{Revision: 1}, nil
			},
			Watch: func(ctx context.Context, from uint64) ([]lentilfollow.Change[struct{}], lentilera.Position, error) {
				<-ctx.Done()
				return nil, lentilera.Position{Revision: from}, ctx.Err()
			},
		},
		Balancers: directory, Agents: directory,
	}
}

// runBalancer runs a balancer with a link of 10 Mbit/s until stop is called, and returns once it has read the list of agents.
func runBalancer(t *testing.T, store Store) (b *Balancer, stop func()) {
	t.Helper()
	free := func() string { return listenLoopback(t).LocalAddr().String() }
	ingress, peer := listenLoopback(t), listenLoopback(t)
	doc := fmt.Sprintf(`{"name": "entry-1", "domain": "palermo", "ingressAddress": %q, "peerAddress": %q, "adminAddress": %q, "storeAddress": %q, "stopGrace": "1ms", "link": {"megabitsPerSecond": 10}}`,
		ingress.LocalAddr(), peer.LocalAddr(), free(), free())
	settings, err := lentilsetting.Loader{ReadFile: func(string) ([]byte, error) { return []byte(doc), nil }}.PacketBalancer("settings")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = ingress.Close(), peer.Close()
	var log bytes.Buffer
	b = &Balancer{Settings: settings, Codec: testCodec, Counts: &Counts{}, Logger: lentilevent.New(&log, lentilevent.Info), Store: store}
	graceful, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(graceful, t.Context()) }()
	started := func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return !b.agentsListedAt.IsZero()
	}
	for deadline := time.Now().Add(5 * time.Second); !started(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the balancer doesn't start")
		}
	}
	return b, func() {
		t.Helper()
		cancel()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
}

// TestRunWithLink guards against queued packets that aren't sent while the balancer runs, or that are lost when it stops
// gracefully.
func TestRunWithLink(t *testing.T) {
	r := newReceiver(t)
	b, stop := runBalancer(t, emptyStore())
	const packets = 120
	for n := range uint32(packets) {
		b.sendPacket(n, r.address())
	}
	r.await(t, packets)
	for n := range uint32(packets) {
		b.sendPacket(packets+n, r.address())
	}
	b.mu.Lock()
	queued := b.link.Stats().QueuedBytes()
	b.mu.Unlock()
	if queued == 0 {
		t.Error("nothing is queued at the stop")
	}
	stop()
	r.await(t, 2*packets)
}

// TestStoppedBalancerWithdrawsEntry guards against entries of balancers that have ended, which agents take for running ones, and against the
// withdrawal of one that still gets packets: agents that start then don't introduce themselves to it.
func TestStoppedBalancerWithdrawsEntry(t *testing.T) {
	store := emptyStore()
	var published, withdrawn []Peer
	store.Balancers.Publish = func(_ context.Context, self Peer) error {
		published = append(published, self)
		return nil
	}
	var b *Balancer
	store.Balancers.Withdraw = func(_ context.Context, ended Peer) error {
		withdrawn = append(withdrawn, ended)
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.Settings.IngressAddress()))
		if err != nil {
			t.Errorf("the balancer still gets packets: %v", err)
			return nil
		}
		return conn.Close()
	}
	b, stop := runBalancer(t, store)
	if len(withdrawn) > 0 {
		t.Error("the entry is withdrawn while the balancer runs")
	}
	stop()
	if len(published) != 1 || len(withdrawn) != 1 || !published[0].IsOfRun(withdrawn[0]) || published[0].Node.Name != withdrawn[0].Node.Name {
		t.Errorf("published %+v, withdrawn %+v", published, withdrawn)
	}
}

// TestLinkReports guards the metrics of a full link and its events.
func TestLinkReports(t *testing.T) {
	b, r := newLinkBalancer(t, testRate), newReceiver(t)
	var log bytes.Buffer
	b.Logger = lentilevent.New(&log, lentilevent.Info)
	registry, poller := lentilmetric.New("balancer"), lentilmetric.Poller{}
	b.Counts.Export(registry, &poller)
	b.observeLink()
	if log.Len() > 0 || b.Counts.Link.fullSeconds() != 0 {
		t.Errorf("the link is full before anything is sent: %s", &log)
	}
	const packets = 400
	for n := range uint32(packets) {
		b.sendPacket(n, r.address())
	}
	b.observeLink()
	time.Sleep(time.Millisecond)
	if got := b.Counts.Link.fullSeconds(); got <= 0 || got > 1 {
		t.Errorf("the link has been full for %g s", got)
	}
	for _, want := range []string{`"event":"LE2422"`, `"caller":"100.64.0.7"`, `"bytesPerSecond":1250000`} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("%s is missing in %s", want, &log)
		}
	}
	log.Reset()
	b.emptyQueue(t.Context(), time.NewTimer(0))
	for deadline := time.Now().Add(10 * time.Second); log.Len() == 0 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		b.observeLink()
	}
	for _, want := range []string{`"event":"LE2423"`, `"droppedControl":0`, `"droppedBulk":`} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("%s is missing in %s", want, &log)
		}
	}
	if got := b.Counts.Link.fullSeconds(); got != 0 {
		t.Errorf("the free link has been full for %g s", got)
	}
	if lost := b.Counts.Link.dropped[lentillink.Bulk][lentillink.Overflow].Load(); lost == 0 || strings.Contains(log.String(), `"droppedBulk":0`) {
		t.Errorf("%d bulk packets are counted as dropped, the log is %s", lost, &log)
	}
	poller.Poll()
}

// BenchmarkTransmit measures what a datagram costs with its system call, without and with a limit that isn't reached.
func BenchmarkTransmit(b *testing.B) {
	for _, rate := range []int{0, 1 << 40} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			balancer := Balancer{Codec: testCodec, Counts: &Counts{}, peerConn: conn}
			balancer.link.BytesPerSecond = rate
			packet := make([]byte, 500)
			a := lentilplacement.Action{Kind: lentilplacement.SendCarry, To: lentilflow.EndpointOf(conn.LocalAddr().(*net.UDPAddr).AddrPort()), Key: testFlow, Carry: lentilflow.Carry{Packet: packet}}
			balancer.frameBuffer = packet
			for b.Loop() {
				balancer.transmit(balancer.packetDatagram(&a))
			}
		})
	}
}
