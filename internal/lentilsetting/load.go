package lentilsetting

import (
	"crypto/tls"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
)

// Loader reads settings and the files that they name. The zero Loader reads
// from the file system.
type Loader struct {
	// ReadFile returns the content of a file; nil means os.ReadFile.
	ReadFile func(name string) ([]byte, error)
}

// Balancer reads a balancer's settings. The error is *Faults if they have any.
func (l Loader) Balancer(file string) (settings Balancer, err error) {
	r := l.reading(file)
	var doc BalancerDoc
	if r.decode(balancerFields, &doc) {
		settings = r.balancer(doc)
	}
	return settings, r.err()
}

// Agent reads an agent's settings. The error is *Faults if they have any.
func (l Loader) Agent(file string) (settings Agent, err error) {
	r := l.reading(file)
	var doc AgentDoc
	if r.decode(agentFields, &doc) {
		settings = r.agent(doc)
	}
	return settings, r.err()
}

// reading is one reading of a settings file.
type reading struct {
	collector
	loader Loader
	file   string
}

func (l Loader) reading(file string) *reading { return &reading{loader: l, file: file} }

func (r *reading) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return &Faults{file: r.file, faults: r.faults}
}

func (r *reading) decode(fields []field, doc any) (ok bool) {
	data := r.read("(the whole file)", r.file)
	if len(r.faults) == 0 {
		decode(&r.collector, data, fields, doc)
	}
	return len(r.faults) == 0
}

// read returns the content of a file that the given field names.
func (r *reading) read(field, name string) []byte {
	readFile := r.loader.ReadFile
	if readFile == nil {
		readFile = os.ReadFile
	}
	data, err := readFile(name)
	if err != nil {
		r.add(UnreadableFile, field, "%s", err)
	}
	return data
}

// resolve returns a path that is relative to the settings file's directory.
func (r *reading) resolve(name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(r.file), name)
}

func (r *reading) balancer(doc BalancerDoc) Balancer {
	r.distinct("controlAddress", doc.ControlAddress, "adminAddress", doc.AdminAddress)
	return Balancer{
		common:    r.common(doc.Domain, doc.TunnelAddress, doc.ControlAddress, doc.AdminAddress, doc.Keys, doc.Log),
		name:      doc.Name,
		listen:    netip.MustParseAddr(doc.ListenAddress),
		platform:  r.platform(doc.Platform),
		peers:     addresses(doc.Peers),
		stopGrace: duration(doc.StopGrace, defaultStopGrace),
	}
}

func (r *reading) agent(doc AgentDoc) Agent {
	r.distinct("controlAddress", doc.ControlAddress, "adminAddress", doc.AdminAddress)
	upstream, _ := url.Parse(doc.Upstream)
	files := TLSDoc{CertificateFile: r.resolve(doc.TLS.CertificateFile), KeyFile: r.resolve(doc.TLS.KeyFile)}
	r.certificate(files)
	return Agent{
		common:     r.common(doc.Domain, doc.TunnelAddress, doc.ControlAddress, doc.AdminAddress, doc.Keys, doc.Log),
		copy:       doc.Copy,
		service:    doc.Service,
		upstream:   upstream,
		balancers:  addresses(doc.Balancers),
		tls:        files,
		drainLimit: duration(doc.DrainLimit, defaultDrainLimit),
	}
}

func (r *reading) common(domain, tunnel, control, admin string, keys []KeyDoc, log LogDoc) common {
	level, _ := lentilevent.ParseLevel(log.Level)
	return common{
		domain:  domain,
		tunnel:  netip.MustParseAddrPort(tunnel),
		control: netip.MustParseAddrPort(control),
		admin:   netip.MustParseAddrPort(admin),
		keys:    r.keys(keys),
		level:   level,
	}
}

// distinct adds a fault if two TCP addresses are the same.
func (r *reading) distinct(field, value, other, otherValue string) {
	if value == otherValue {
		r.add(Clash, field, "%s is also the %s", value, other)
	}
}

func (r *reading) platform(doc PlatformDoc) Platform {
	p := Platform{url: strings.TrimSuffix(doc.URL, "/")}
	if doc.TokenFile != "" {
		p.token = strings.TrimSpace(string(r.read("platform.tokenFile", r.resolve(doc.TokenFile))))
	}
	return p
}

func (r *reading) keys(docs []KeyDoc) (keys []Key) {
	seen := make(map[uint8]int, len(docs))
	for i, doc := range docs {
		path := "keys[" + strconv.Itoa(i) + "]"
		if first, ok := seen[doc.ID]; ok {
			r.add(Clash, path+".id", "%d is also the id of keys[%d]", doc.ID, first)
		} else {
			seen[doc.ID] = i
		}
		if secret := r.secret(path, doc); secret != nil {
			keys = append(keys, Key{id: doc.ID, secret: secret})
		}
	}
	return keys
}

func (r *reading) secret(path string, doc KeyDoc) []byte {
	field, written := path+".secret", doc.Secret
	switch {
	case doc.Secret != "" && doc.SecretFile != "":
		r.add(Clash, field, "secretFile is given too; give one of them")
		return nil
	case doc.Secret == "" && doc.SecretFile == "":
		r.add(MissingField, path+".secretFile", "secretFile or secret is needed")
		return nil
	case doc.SecretFile != "":
		before := len(r.faults)
		field, written = path+".secretFile", string(r.read(path+".secretFile", r.resolve(doc.SecretFile)))
		if len(r.faults) > before {
			return nil
		}
	}
	secret, reason := decodeSecret(written)
	if reason != "" {
		r.add(BadSecret, field, "%s", reason)
	}
	return secret
}

func (r *reading) certificate(files TLSDoc) {
	before := len(r.faults)
	certificate := r.read("tls.certificateFile", files.CertificateFile)
	key := r.read("tls.keyFile", files.KeyFile)
	if len(r.faults) > before {
		return
	}
	if _, err := tls.X509KeyPair(certificate, key); err != nil {
		r.add(BadCertificate, "tls", "%s", err)
	}
}

func addresses(written []string) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(written))
	for _, s := range written {
		out = append(out, netip.MustParseAddrPort(s))
	}
	return out
}

func duration(written string, fallback time.Duration) time.Duration {
	if written == "" {
		return fallback
	}
	d, _ := time.ParseDuration(written)
	return d
}
