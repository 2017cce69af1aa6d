package main

import (
	"encoding/json"
	"fmt"
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

// Ports are the same on all machines, each of which has a loopback address of its own.
const (
	portDatagram = 8172
	portReady    = 8167
	portControl  = 8166
	portOutbound = 8173
	portApp      = 8360
	portInternal = 7720
	portStore    = 8169
	portMetrics  = 29464

	// Bounds and settings of the small deployments (dostepna-sala, cers-iscrizioni).
	heartbeatInterval = 1200 * time.Millisecond
	addrReuse         = 2 * time.Second
	grace             = 6 * time.Second
	burstFactor       = 1.5
	warmupSlack       = 5
	probeEvery        = 500 * time.Millisecond
	restartDelay      = 700 * time.Millisecond
)

// site is a deployment on one machine.
type site struct {
	subnet  byte
	dir     string
	program string
	store   *store
	record  *recorder
	startAt time.Time

	mu        sync.Mutex
	balancers []*machine
	all       []*machine
	endpoints []*endpoint
	stopped   atomic.Bool
}

func (s *site) address(kind, number byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.subnet, kind, number})
}

// Kinds of addresses.
const (
	kindStore = iota
	kindFront
	kindSide
	kindClient
	kindService
)

// newSite starts the store on a subnet of the loopback network that is free.
func newSite(record *recorder, program string) (s *site, err error) {
	s = &site{record: record, program: program, startAt: time.Now()}
	record.site = s
	if s.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	for attempt := range 40 {
		s.subnet = byte(100 + (os.Getpid()+attempt*7)%100)
		if s.store, err = startStore(netip.AddrPortFrom(s.address(kindStore, 1), portStore).String()); err == nil {
			return s, nil
		}
	}
	return nil, err
}

// machine runs a process of the system.
type machine struct {
	site       *site
	name, zone string
	role       string
	addr       netip.Addr
	service    string
	bootstrap  bool
	inRotation atomic.Bool

	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	expected bool
	removed  bool
}

func (m *machine) at(port uint16) string { return netip.AddrPortFrom(m.addr, port).String() }

// settings are what deploy/balancer.json and deploy/agent.json come to with the settings of a small deployment.
func (m *machine) settings() map[string]any {
	common := map[string]any{
		"name": m.name, "domain": m.zone, "adminAddress": m.at(portReady), "metricsAddress": m.at(portMetrics),
		"storeAddress": netip.AddrPortFrom(m.site.address(kindStore, 1), portStore).String(), "flowLife": "60s",
		"log": map[string]any{"level": "info"},
	}
	if m.role == "balancer" {
		common["ingressAddress"], common["peerAddress"] = m.at(portDatagram), m.at(portInternal)
		common["killAfter"] = grace.String()
		common["link"] = map[string]any{"megabitsPerSecond": 1000.0}
		common["placement"] = map[string]any{"by": "expectedWait"}
		return common
	}
	common["service"], common["peerAddress"], common["upstreamAddress"] = m.service, m.at(portDatagram), m.at(portApp)
	common["outboundAddress"], common["registrationAddress"], common["clientPort"] = m.at(portOutbound), m.at(portControl), m.at(portDatagram)
	common["firstStart"], common["renewInterval"], common["addressReuse"] = m.bootstrap, "1200ms", addrReuse.String()
	common["cold"] = map[string]any{"factor": burstFactor, "slack": warmupSlack}
	common["ledger"] = map[string]any{"unlisted": "3s", "groups": 1}
	common["queue"] = map[string]any{"turns": "caller"}
	return common
}

func (s *site) addMachine(role, zone, name string, addr netip.Addr, service string, bootstrap bool) *machine {
	m := &machine{site: s, role: role, zone: zone, name: name, addr: addr, service: service, bootstrap: bootstrap}
	s.mu.Lock()
	s.all = append(s.all, m)
	if role == "balancer" {
		s.balancers = append(s.balancers, m)
	}
	s.mu.Unlock()
	m.start()
	if role == "balancer" {
		go m.probe()
	}
	return m
}

// start runs the command of the deploy file. A process that ends is started again after a short delay, unless its machine was removed.
func (m *machine) start() {
	data, err := json.MarshalIndent(m.settings(), "", " ")
	check(err)
	file := filepath.Join(m.site.dir, m.name+".json")
	check(os.WriteFile(file, data, 0o600))
	logFile, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	command := exec.Command(m.site.program, m.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire.SettingsVariable + "=" + file}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.mu.Lock()
	defer m.mu.Unlock()
	check(command.Start())
	m.command, m.exited, m.expected = command, make(chan struct{}), false
	exited := m.exited
	go func() {
		err := command.Wait()
		_ = logFile.Close()
		close(exited)
		m.mu.Lock()
		expected, removed := m.expected, m.removed
		m.mu.Unlock()
		if m.site.stopped.Load() || removed {
			return
		}
		if !expected {
			m.site.record.line("process %s ended by itself: %v", m.name, err)
		}
		time.Sleep(restartDelay)
		m.mu.Lock()
		removed = m.removed
		m.bootstrap = false
		m.mu.Unlock()
		if !m.site.stopped.Load() && !removed {
			m.start()
			m.site.record.line("process %s starts again", m.name)
		}
	}()
}

func (m *machine) signal(sig syscall.Signal) (exited chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		m.expected = true
	}
	_ = m.command.Process.Signal(sig)
	return m.exited
}

// remove ends the machine for good.
func (m *machine) remove(sig syscall.Signal) {
	m.mu.Lock()
	m.removed = true
	m.mu.Unlock()
	<-m.signal(sig)
}

// probe is the routers' health check of a balancer: twice a second, out after two misses, in after a 200.
func (m *machine) probe() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for !m.site.stopped.Load() {
		begun := time.Now()
		response, err := client.Get("http://" + m.at(portReady) + wire.Ready)
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		was := m.inRotation.Load()
		if ok {
			misses = 0
			m.inRotation.Store(true)
		} else if misses++; misses >= 2 {
			m.inRotation.Store(false)
		}
		if now := m.inRotation.Load(); now != was {
			m.site.record.line("routers: %s in rotation: %t", m.name, now)
		}
		time.Sleep(probeEvery - time.Since(begun))
	}
}

// route returns the balancer that the routers choose for a flow: by rendezvous hashing over those in rotation in the client's zone, or in
// the nearest zone that has one.
func (s *site) route(zone string, src, dst netip.AddrPort) (chosen *machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pick := func(same bool) (chosen *machine) {
		var best uint32
		for _, m := range s.balancers {
			if (m.zone == zone) != same || !m.inRotation.Load() {
				continue
			}
			h := packet{src: src, dst: dst, seq: uint32(m.addr.As4()[3]) * 2654435761}.keyedSum()
			h = h*2246822519 ^ h>>13
			if chosen == nil || h > best {
				chosen, best = m, h
			}
		}
		return chosen
	}
	if chosen = pick(true); chosen == nil {
		chosen = pick(false)
	}
	return chosen
}

func (s *site) waitReady(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for {
		ready := true
		s.mu.Lock()
		for _, m := range s.balancers {
			ready = ready && m.inRotation.Load()
		}
		s.mu.Unlock()
		if ready {
			return
		}
		if time.Now().After(deadline) {
			fatal("the balancers aren't ready after %s", limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	s.stopped.Store(true)
	s.mu.Lock()
	machines := s.all
	s.mu.Unlock()
	for _, m := range machines {
		m.mu.Lock()
		m.removed = true
		m.mu.Unlock()
		_ = m.signal(syscall.SIGCONT)
		<-m.signal(syscall.SIGKILL)
	}
	_ = s.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

func listenUDP(address netip.AddrPort) *net.UDPConn {
	for attempt := 0; ; attempt++ {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err == nil {
			return conn
		}
		if attempt > 40 {
			fatal("can't listen at %s: %v", address, err)
		}
		time.Sleep(25 * time.Millisecond)
	}
}
