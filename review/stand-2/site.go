package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// machine stands for a machine with one process of the system.
type machine struct {
	name, role, zone, service string
	ip                        netip.Addr
	endpoint                  *endpoint

	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
	expected bool
	starts   int
	// output reads the log of the process; nil writes it to a file.
	output     func(r *os.File)
	inRotation atomic.Bool
	probeHangs atomic.Int64
	// touchedAt is when a disruption on the machine last began or ended.
	touchedAt time.Time
}

type ports struct{ datagram, ready, control, outbound, app, internal, store uint16 }

// site is a small deployment with its stand-ins.
type site struct {
	dir       string
	program   string
	ports     ports
	store     *store
	http      *http.Client
	bootstrap bool
	startedAt time.Time

	mu         sync.Mutex
	record     *os.File
	machines   []*machine
	violations int
	runs       map[string]int
	counts     clientCounts
	// logReader returns what reads the log of a machine, or nil.
	logReader func(m *machine) func(r *os.File)
	// onPacket gets the packets of clients that arrive at endpoints; own is set if the endpoint holds the flow.
	onPacket func(e *endpoint, p packet, own bool)
	onRan    func(id string, e *endpoint)
	onOpened func(e *endpoint, p packet)
	onReset  func(c *client, p packet)
	done     chan struct{}
}

func newSite(record string) (s *site, err error) {
	s = &site{startedAt: time.Now(), runs: make(map[string]int), bootstrap: true, done: make(chan struct{})}
	if s.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if s.program, err = filepath.Abs("target/lentilpacket"); err != nil {
		return nil, err
	}
	if _, err = os.Stat(s.program); err != nil {
		return nil, err
	}
	s.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	s.store = newStore(s.log)
	// Any free block of ports will do: the store's address is taken first.
	for block := range 400 {
		base := uint16(11000 + (os.Getpid()+block*7)%1200*16)
		s.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6}
		l, err := net.Listen("tcp4", fmt.Sprintf("127.80.0.1:%d", s.ports.store))
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(l, s.store) }()
		return s, nil
	}
	return nil, fmt.Errorf("no free ports")
}

// log writes a line to the record.
func (s *site) log(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// violate records that a rule was broken.
func (s *site) violate(rule, format string, values ...any) {
	s.mu.Lock()
	s.violations++
	s.mu.Unlock()
	s.log("BROKEN %s: %s", rule, fmt.Sprintf(format, values...))
}

func (s *site) broken() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.violations
}

func (s *site) ran(id string, e *endpoint) {
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	if s.onRan != nil {
		s.onRan(id, e)
	}
	if n > 1 {
		s.violate("ran twice", "request %s ran %d times, now at %s", id, n, e.id)
	}
}

func (s *site) opened(e *endpoint, p packet) {
	if s.onOpened != nil {
		s.onOpened(e, p)
	}
}

func (s *site) resetSeen(c *client, p packet) {
	s.counts.resets.Add(1)
	if s.onReset != nil {
		s.onReset(c, p)
	}
}

func (s *site) nameOf(ip netip.Addr) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.machines {
		if m.ip == ip {
			return m.name
		}
	}
	return ip.String()
}

// add adds a machine to the site, and starts its process.
func (s *site) add(m *machine) (err error) {
	s.mu.Lock()
	s.machines = append(s.machines, m)
	s.mu.Unlock()
	if err = s.store.listen(netip.AddrPortFrom(m.ip, s.ports.store).String()); err != nil {
		return err
	}
	if err = s.start(m); err != nil {
		return err
	}
	if m.role == "balancer" {
		go s.probe(m)
	}
	return nil
}

// start starts the process of a machine with the settings that the templates in deploy give.
func (s *site) start(m *machine) (err error) {
	at := func(port uint16) string { return netip.AddrPortFrom(m.ip, port).String() }
	settings := map[string]any{
		"name": m.name, "domain": m.zone, "adminAddress": at(s.ports.ready), "storeAddress": at(s.ports.store),
		"flowLife": "60s", "log": map[string]any{"level": "info"},
	}
	if m.role == "balancer" {
		settings["ingressAddress"], settings["peerAddress"], settings["killAfter"] = at(s.ports.datagram), at(s.ports.internal), "6s"
		settings["link"], settings["placement"] = map[string]any{"megabitsPerSecond": 1000.0}, map[string]any{"by": "expectedWait"}
	} else {
		settings["service"], settings["peerAddress"], settings["upstreamAddress"] = m.service, at(s.ports.datagram), at(s.ports.app)
		settings["outboundAddress"], settings["registrationAddress"], settings["clientPort"] = at(s.ports.outbound), at(s.ports.control), at(s.ports.datagram)
		settings["firstStart"], settings["renewInterval"], settings["addressReuse"] = s.bootstrap && m.starts == 0, "1200ms", "2s"
		settings["cold"] = map[string]any{"factor": 1.5, "slack": 5}
		settings["ledger"], settings["queue"] = map[string]any{"unlisted": "3s", "groups": 1}, map[string]any{"turns": "caller"}
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(s.dir, m.name+".json")
	if err = os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	c := exec.Command(s.program, m.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", wire.SettingsVariable + "=" + file}
	var logFile *os.File
	if s.logReader != nil {
		m.output = s.logReader(m)
	}
	if m.output == nil {
		if logFile, err = os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return err
		}
		c.Stdout, c.Stderr = logFile, logFile
	} else {
		r, w, err := os.Pipe()
		if err != nil {
			return err
		}
		c.Stdout, c.Stderr, logFile = w, w, w
		go m.output(r)
	}
	if err = c.Start(); err != nil {
		return err
	}
	_ = logFile.Close()
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited, m.expected = c, exited, false
	m.starts++
	m.mu.Unlock()
	s.log("%s starts", m.name)
	go func() {
		err := c.Wait()
		m.mu.Lock()
		expected := m.expected
		m.mu.Unlock()
		if !expected {
			s.violate("Fault", "%s ended by itself: %v", m.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of a machine. After SIGTERM and SIGKILL its end is expected.
func (s *site) signal(m *machine, sig syscall.Signal) (exited chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		m.expected = true
	}
	_ = m.process.Process.Signal(sig)
	return m.exited
}

// probe asks a balancer twice a second whether it is ready. After two misses it is out of rotation.
func (s *site) probe(m *machine) {
	h := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	missed := 0
	for {
		select {
		case <-s.done:
			return
		default:
		}
		r, err := h.Get("http://" + netip.AddrPortFrom(m.ip, s.ports.ready).String() + wire.Ready)
		ok := err == nil && r.StatusCode == http.StatusOK
		if err == nil {
			_ = r.Body.Close()
		}
		if ok {
			missed = 0
			if m.inRotation.CompareAndSwap(false, true) {
				s.log("%s is in rotation", m.name)
			}
		} else if missed++; missed >= 2 && m.inRotation.CompareAndSwap(true, false) {
			s.log("%s is out of rotation", m.name)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// route returns the balancer for a flow: by a steady hash among those of the client's zone that are in rotation.
func (s *site) route(zone string, src, dst netip.AddrPort) (chosen *machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, ready, others []*machine
	for _, m := range s.machines {
		switch {
		case m.role != "balancer":
		case m.zone == zone:
			near = append(near, m)
			if m.inRotation.Load() {
				ready = append(ready, m)
			}
		case m.inRotation.Load():
			others = append(others, m)
		}
	}
	from := ready
	if len(ready) == 0 {
		from = others
	} else if 2*len(ready) < len(near) {
		from = near
	}
	var best uint64
	for _, m := range from {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %s %s", m.name, src, dst)
		// Spreads the bits, since names and ports differ little.
		x := h.Sum64() * 0x9E3779B97F4A7C15
		if x ^= x >> 32; chosen == nil || x > best {
			chosen, best = m, x
		}
	}
	return chosen
}

// waitReady waits until all balancers are in rotation.
func (s *site) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		s.mu.Lock()
		for _, m := range s.machines {
			all = all && (m.role != "balancer" || m.inRotation.Load())
		}
		s.mu.Unlock()
		if all {
			return nil
		}
	}
	return fmt.Errorf("not all balancers are ready")
}

// close ends all processes that the site started.
func (s *site) close() {
	close(s.done)
	s.mu.Lock()
	machines := s.machines
	s.mu.Unlock()
	for _, m := range machines {
		if m.process == nil {
			continue
		}
		s.signal(m, syscall.SIGCONT)
		<-s.signal(m, syscall.SIGKILL)
	}
	c := &s.counts
	s.log("clients: %d flows opened, %d refused, %d without an answer to the SYN; %d requests, %d answered, %d resets on open flows, %d expired",
		c.opened.Load(), c.refused.Load(), c.timedOut.Load(), c.requests.Load(), c.answered.Load(), c.resets.Load(), c.expired.Load())
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.dir))
	}
	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
}
