package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

type ports struct{ datagram, ready, control, outbound, app, internal, store, metrics uint16 }

// machine runs one process of the project.
type machine struct {
	role, name, zone, service string
	ip                        netip.Addr
	starts                    int
	// first is set if the process was started at the first start of the whole system.
	first    bool
	cmd      *exec.Cmd
	exited   chan struct{}
	asked    bool
	crashed  bool
	endpoint *endpoint
	inRot    bool
	misses   int
}

// site is a deployment on loopback addresses.
type site struct {
	net      byte
	dir      string
	program  string
	ports    ports
	store    *store
	mu       sync.Mutex
	machines []*machine
	eps      []*endpoint
	began    time.Time
	record   *os.File
	failed   []string
	nSent    int
	nAnswer  int
	nRun     map[string]int
	service  netip.AddrPort
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		current.end()
		os.Exit(2)
	}
}

var current *site

func newSite(program, dir, temp string) *site {
	runtime.LockOSThread() // Pdeathsig follows the thread.
	s := &site{dir: temp, program: program, began: time.Now(), nRun: map[string]int{}}
	current = s
	var err error
	s.record, err = os.Create(filepath.Join(dir, "record.txt"))
	check(err)
	for attempt := range 60 {
		s.net = byte(40 + (os.Getpid()+attempt)%60)
		base := uint16(10000 + (os.Getpid()*7+attempt*13)%1200*16)
		s.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7}
		s.store, err = startStore(s, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.net, 0, 1}), s.ports.store).String())
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	check(err)
	s.service = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.net, 250, 1}), 8443)
	return s
}

func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *site) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.note("BROKEN %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = append(s.failed, text)
}

func (s *site) sent(id string)     { s.note("sent %s", id); s.count(&s.nSent) }
func (s *site) answered(id string) { s.note("answered %s", id); s.count(&s.nAnswer) }
func (s *site) count(n *int)       { s.mu.Lock(); *n++; s.mu.Unlock() }
func (s *site) ran(id, at string) {
	s.note("run %s at %s", id, at)
	s.mu.Lock()
	s.nRun[id]++
	n := s.nRun[id]
	s.mu.Unlock()
	if n > 1 {
		s.violation("a request ran %d times: %s", n, id)
	}
}

func (s *site) endpoints() []*endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*endpoint(nil), s.eps...)
}

// configure writes a configuration with one route for the operator.
func (s *site) configure(version int) {
	s.store.operator("config", "main", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": s.service.Addr().String(), wire["prefix"]: fmt.Sprintf("/%d/", s.service.Port()), "type": "unsafe",
			"timeoutMs": 1200, "targetLatencyMs": 120, "priority": 1, "service": "svc", "attempts": 2,
		}},
		"services": []map[string]any{{"name": "svc", "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false, "warmupS": 2.0, wire["coldPerSecond"]: 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, wire["idle"]: 15000},
	})
	s.note("operator: config/main version %d is acknowledged", version)
}

// add adds a machine; n is the last part of its address.
func (s *site) add(role, name, zone string, n byte, first bool) *machine {
	m := &machine{role: role, name: name, zone: zone, first: first}
	third := byte(1)
	if role == "agent" {
		third, m.service = 2, "svc"
	}
	m.ip = netip.AddrFrom4([4]byte{127, s.net, third, n})
	s.mu.Lock()
	s.machines = append(s.machines, m)
	s.mu.Unlock()
	return m
}

// addAgent adds a side machine with its agent and its endpoint.
func (s *site) addAgent(name, zone string, n byte, first bool) *machine {
	m := s.add("agent", name, zone, n, first)
	s.start(m)
	s.endpointAt(m, "i-"+name+fmt.Sprint(n))
	return m
}

func (s *site) endpointAt(m *machine, id string) *endpoint {
	e := s.startEndpoint(m, id)
	s.mu.Lock()
	s.eps = append(s.eps, e)
	s.mu.Unlock()
	return e
}

// start starts the process of a machine, with the settings that the templates of the deploy file give.
func (s *site) start(m *machine) {
	at := func(port uint16) string { return netip.AddrPortFrom(m.ip, port).String() }
	set := map[string]any{
		"name": m.name, "domain": m.zone, "adminAddress": at(s.ports.ready), "metricsAddress": at(s.ports.metrics),
		"storeAddress": netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.net, 0, 1}), s.ports.store).String(),
		"flowLife":     "60s", "log": map[string]any{"level": "info"},
	}
	if m.role == "balancer" {
		set["ingressAddress"], set["peerAddress"], set["killAfter"] = at(s.ports.datagram), at(s.ports.internal), "6s"
		set["link"], set["placement"] = map[string]any{"megabitsPerSecond": 1000.0}, map[string]any{"by": "expectedWait"}
	} else {
		set["service"], set["peerAddress"], set["upstreamAddress"] = m.service, at(s.ports.datagram), at(s.ports.app)
		set["outboundAddress"], set["registrationAddress"], set["clientPort"] = at(s.ports.outbound), at(s.ports.control), at(s.ports.datagram)
		set["firstStart"], set["renewInterval"] = m.first && m.starts == 0, "1200ms"
		set["cold"] = map[string]any{"factor": 1.5, "slack": 5}
		set["ledger"], set["queue"] = map[string]any{"unlisted": "3s", "groups": 1}, map[string]any{"turns": "caller"}
	}
	data, err := json.Marshal(set)
	check(err)
	file := filepath.Join(s.dir, fmt.Sprintf("%s-%v.json", m.name, m.ip))
	check(os.WriteFile(file, data, 0o600))
	out, err := os.OpenFile(filepath.Join(s.dir, fmt.Sprintf("%s-%v.log", m.name, m.ip)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(s.program, m.role)
	cmd.Env = append(os.Environ(), wire["settings"]+"="+file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	exited := make(chan struct{})
	m.starts++
	s.mu.Lock()
	m.cmd, m.exited, m.asked = cmd, exited, false
	s.mu.Unlock()
	s.note("%s starts (start %d, %v)", m.name, m.starts, m.ip)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		s.mu.Lock()
		asked := m.asked
		m.crashed = m.crashed || !asked
		s.mu.Unlock()
		if !asked {
			s.note("%s ENDED BY ITSELF: %v", m.name, err)
		} else {
			s.note("%s has ended", m.name)
		}
		close(exited)
	}()
}

// signal sends a signal that ends the process.
func (s *site) signal(m *machine, sig syscall.Signal) chan struct{} {
	s.note("%v to %s", sig, m.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	m.asked = true
	_ = m.cmd.Process.Signal(sig)
	return m.exited
}

// roll sends SIGTERM, waits for the end (SIGKILL after 6 s) and starts the process again.
func (s *site) roll(m *machine) {
	exited := s.signal(m, syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		<-s.signal(m, syscall.SIGKILL)
	}
	time.Sleep(200 * time.Millisecond)
	s.start(m)
}

// probe is the router's health check of a balancer, twice a second.
func (s *site) probe(m *machine) {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r, err := client.Get(fmt.Sprintf("http://%v:%d%s", m.ip, s.ports.ready, wire["ready"]))
		ok := err == nil && r.StatusCode == 200
		if err == nil {
			_ = r.Body.Close()
		}
		s.mu.Lock()
		before := m.inRot
		if ok {
			m.misses, m.inRot = 0, true
		} else if m.misses++; m.misses >= 2 {
			m.inRot = false
		}
		after := m.inRot
		s.mu.Unlock()
		if before != after {
			s.note("router: %s in rotation: %v", m.name, after)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// route chooses the balancer of a flow: rendezvous hashing over those of the zone in rotation, else over all in rotation.
func (s *site) route(zone string, src netip.AddrPort) (chosen *machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, near := range []bool{true, false} {
		var best uint64
		for _, m := range s.machines {
			if m.role != "balancer" || !m.inRot || near && m.zone != zone {
				continue
			}
			h := fnv.New64a()
			fmt.Fprintf(h, "%s %v", m.name, src)
			if v := h.Sum64(); chosen == nil || v > best {
				chosen, best = m, v
			}
		}
		if chosen != nil {
			return chosen
		}
	}
	return nil
}

// waitReady waits until the balancers are in rotation.
func (s *site) waitReady(ms ...*machine) {
	end := time.Now().Add(10 * time.Second)
	for _, m := range ms {
		for {
			s.mu.Lock()
			ok := m.inRot
			s.mu.Unlock()
			if ok {
				break
			}
			if time.Now().After(end) {
				check(errors.New("not all balancers are ready"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// end ends all processes.
func (s *site) end() {
	if s == nil {
		return
	}
	for _, e := range s.endpoints() {
		e.kill()
	}
	for _, m := range s.machines {
		if m.cmd != nil {
			s.mu.Lock()
			m.asked = true
			_ = m.cmd.Process.Kill()
			s.mu.Unlock()
			<-m.exited
		}
	}
}

// finish ends the run with 1 if a rule was broken, and 0 if not.
func (s *site) finish() {
	s.end()
	s.note("%d requests sent, %d answered, %d run; %d violations", s.nSent, s.nAnswer, len(s.nRun), len(s.failed))
	fmt.Printf("%d requests sent, %d answered, %d run; %d violations\n", s.nSent, s.nAnswer, len(s.nRun), len(s.failed))
	for i, f := range s.failed {
		if i < 5 {
			fmt.Println(" ", f)
		}
	}
	if len(s.failed) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}
