package lentilagent

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilbalancer"
	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/internal/lentilstand/caller"
	"lentilstair.example/lentilstair/internal/lentilstand/fabric"
	"lentilstair.example/lentilstair/internal/lentilstand/upstream"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilview"
)

// harness is the whole data harness in one process, with a small control plane: every
// record reaches every balancer and agent at once.
type harness struct {
	t         *testing.T
	ring      lentilkey.Ring
	fabric    *fabric.Fabric
	balancers []*lentilbalancer.Balancer
	agents    []*Agent
	copies    []*upstream.Copy
	servers   []*httptest.Server
	roots     *x509.CertPool
	stopping  sync.WaitGroup

	mu       sync.Mutex
	document lentilconfig.Document
	views    []*lentilview.View
	records  map[lentilrecord.Owner]lentilrecord.Record
}

const testService lentilid.Service = 7

// newHarness starts a path; copy options may be changed by adapt.
func newHarness(t *testing.T, balancers, copies int, adapt func(*upstream.Options)) (p *harness) {
	t.Helper()
	ring, err := lentilkey.New([]lentilkey.KeyDoc{{ID: 1, Secret: []byte("a secret for the path's tests")}})
	if err != nil {
		t.Fatal(err)
	}
	p = &harness{t: t, ring: ring, records: make(map[lentilrecord.Owner]lentilrecord.Record)}
	var listens []fabric.Balancer
	for i := range balancers {
		listens = append(listens, fabric.Balancer{Listen: netip.AddrFrom4([4]byte{127, 0, 13, byte(i + 1)})})
	}
	p.fabric, err = fabric.Start(fabric.Options{Services: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:0")}, Balancers: listens, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.fabric.Close)
	p.document = p.newDocument(copies)
	for _, b := range listens {
		p.startBalancer(b.Listen)
	}
	t.Cleanup(p.closeAgents)
	certificate, key := p.writeCertificate()
	for i := range copies {
		options := upstream.Options{Name: fmt.Sprintf("copy-%d", i+1), Slots: 2, Connections: 100, Work: 5 * time.Millisecond, Tick: 20 * time.Millisecond}
		if adapt != nil {
			adapt(&options)
		}
		p.startCopy(options, certificate, key)
	}
	p.configure(func(*lentilconfig.Document) {})
	return p
}

func (p *harness) newDocument(copies int) (d lentilconfig.Document) {
	d = lentilconfig.Document{
		Version: 1,
		Services: []lentilconfig.ServiceDoc{{
			Name: "iscrizioni", Number: testService, Address: p.fabric.Services()[0], Slots: 2, Connections: 100,
			Rules: []lentilconfig.RuleDoc{{Prefix: "/watch", Kind: "stream"}, {Prefix: "/enrol", Kind: "once"}},
		}},
		Domains: []lentilconfig.DomainDoc{{Name: "palermo", Number: 1, Region: "sicilia"}, {Name: "catania", Number: 2, Region: "sicilia"}},
	}
	for i := range copies {
		domain := d.Domains[i%len(d.Domains)].Name
		d.Copies = append(d.Copies, lentilconfig.CopyDoc{Name: fmt.Sprintf("copy-%d", i+1), Service: "iscrizioni", Domain: domain})
	}
	return d
}

func (p *harness) startBalancer(listen netip.Addr) {
	b, err := lentilbalancer.New(lentilbalancer.Options{
		Listen: listen, Tunnel: netip.AddrPortFrom(listen, 0), Ring: p.ring, Grace: 50 * time.Millisecond,
	})
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(b.Close)
	sealer, err := p.ring.Sealer()
	if err != nil {
		p.t.Fatal(err)
	}
	p.balancers = append(p.balancers, b)
	p.views = append(p.views, &lentilview.View{Sealer: sealer})
}

func (p *harness) startCopy(options upstream.Options, certificate, key string) {
	stand := upstream.NewCopy(options)
	server := httptest.NewServer(stand.Handler())
	p.t.Cleanup(server.CloseClientConnections)
	target, err := url.Parse(server.URL)
	if err != nil {
		p.t.Fatal(err)
	}
	number := len(p.agents)
	random := mathrand.New(mathrand.NewPCG(1, uint64(number)))
	var guard sync.Mutex
	a, err := New(Options{
		Copy: options.Name, Service: testService, Domain: lentilid.Domain(number%2 + 1), Incarnation: lentilid.Incarnation(number + 100),
		Tunnel: netip.MustParseAddrPort("127.0.0.1:0"), Control: netip.MustParseAddrPort("127.0.0.1:0"),
		Upstream: target, CertificateFile: certificate, KeyFile: key, Ring: p.ring, DrainLimit: 5 * time.Second,
		WarmupTime: 100 * time.Millisecond,
		Announce:   p.announce,
		Random: func() float64 {
			guard.Lock()
			defer guard.Unlock()
			return random.Float64()
		},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.agents = append(p.agents, a)
	p.copies = append(p.copies, stand)
	p.servers = append(p.servers, server)
}

// fabricBalancers returns where the balancers take datagrams.
func (p *harness) fabricBalancers() (all []fabric.Balancer) {
	for i := range p.balancers {
		all = append(all, fabric.Balancer{Listen: netip.AddrFrom4([4]byte{127, 0, 13, byte(i + 1)})})
	}
	return all
}

// closeAgents ends all agents at once.
func (p *harness) closeAgents() {
	p.stopping.Wait()
	var all sync.WaitGroup
	for _, a := range p.agents {
		all.Go(a.Close)
	}
	all.Wait()
}

// announce spreads a record to everybody.
func (p *harness) announce(doc lentilrecord.Doc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	record := lentilrecord.New(doc)
	p.records[record.Owner()] = record
	p.distributeRecords()
}

// configure puts a changed configuration in force everywhere.
func (p *harness) configure(change func(*lentilconfig.Document)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.document)
	p.document.Version++
	configuration, err := lentilconfig.New(p.document)
	if err != nil {
		p.t.Fatal(err)
	}
	for i, b := range p.balancers {
		p.views[i].ApplyConfiguration(configuration)
		if err := b.Configure(configuration); err != nil && !errorx.IsOfType(err, lentilbalancer.ErrClosed) {
			p.t.Error(err)
		}
	}
	for _, a := range p.agents {
		a.Configure(configuration)
	}
	p.distributeRecords()
}

// distributeRecords gives the records to everybody. The caller holds the lock.
func (p *harness) distributeRecords() {
	var all []lentilrecord.Record
	for _, r := range p.records {
		all = append(all, r)
	}
	for i, b := range p.balancers {
		for _, r := range all {
			p.views[i].ApplyRecord(r)
		}
		b.Route(p.views[i].Router())
	}
	for _, a := range p.agents {
		a.SetPeers(all)
	}
}

// writeCertificate makes a writeCertificate for localhost.
func (p *harness) writeCertificate() (certificateFile, keyFile string) {
	p.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		p.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{"localhost"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		p.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		p.t.Fatal(err)
	}
	directory := p.t.TempDir()
	certificateFile, keyFile = filepath.Join(directory, "cert.pem"), filepath.Join(directory, "key.pem")
	for name, block := range map[string]*pem.Block{
		certificateFile: {Type: "CERTIFICATE", Bytes: der},
		keyFile:         {Type: "PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			p.t.Fatal(err)
		}
	}
	p.roots = x509.NewCertPool()
	p.roots.AppendCertsFromPEM(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	return certificateFile, keyFile
}

// runCallers runs callers for a while and returns what they saw.
func (p *harness) runCallers(d time.Duration, adapt func(*caller.Options)) (report caller.ReportDoc) {
	p.t.Helper()
	options := caller.Options{
		Target: "https://" + p.fabric.Services()[0].String(), Connections: 4, Streams: 8, Repeatable: 12, Once: 6,
		Timeout: time.Second, Bytes: 2000, Attempts: 2, Seed: 1, Name: "c",
		TLS: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: p.roots},
	}
	if adapt != nil {
		adapt(&options)
	}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return caller.Run(ctx, options)
}

// checkInvariants checks what must hold in every run.
func (p *harness) checkInvariants(report caller.ReportDoc) {
	p.t.Helper()
	runs := make(map[string]int)
	for _, c := range p.copies {
		for id, n := range c.Journal() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n > 1 {
			p.t.Errorf("%s ran %d times", id, n)
		}
	}
	for _, id := range report.Once.NotRunIDs {
		if runs[id] > 0 {
			p.t.Errorf("%s was said not to have run, and ran", id)
		}
	}
	for _, id := range report.Once.AnsweredIDs {
		if runs[id] == 0 {
			p.t.Errorf("%s was answered and didn't run", id)
		}
	}
	if wrong := report.Once.Wrong + report.Repeatable.Wrong; wrong > 0 {
		p.t.Errorf("%d wrong answers", wrong)
	}
	if report.Streams.Broken > 0 || report.Streams.Gaps > 0 {
		p.t.Errorf("streams: %d broken, %d gaps", report.Streams.Broken, report.Streams.Gaps)
	}
	if p.t.Failed() {
		p.t.Logf("%+v", report)
	}
}

func TestDataPath(t *testing.T) {
	p := newHarness(t, 3, 4, nil)
	report := p.runCallers(1500*time.Millisecond, nil)
	p.checkInvariants(report)
	if report.Streams.Opened != 8 || report.Streams.Refused > 0 {
		t.Errorf("streams: %+v", report.Streams)
	}
	for name, doc := range map[string]caller.RequestsDoc{"repeatable": report.Repeatable, "once": report.Once} {
		// A cold copy may refuse; checkPromises looks whether that is true.
		if doc.Answered*2 < doc.Sent || doc.Answered+doc.NotRun != doc.Sent {
			t.Errorf("%s: %+v", name, doc)
		}
	}
	for i, b := range p.balancers {
		if b.Count(lentilbalancer.Forwarded) == 0 || b.Count(lentilbalancer.Answered) == 0 {
			t.Errorf("balancer %d forwarded %d and answered %d packets", i, b.Count(lentilbalancer.Forwarded), b.Count(lentilbalancer.Answered))
		}
	}
}
