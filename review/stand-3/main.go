// Command stand3 plays the cases of the review in review/11 to review/15. It starts lentilpacket as the deploy file does, and stands in for
// the platform's store, routers, endpoints and clients as PROTOCOL.md describes them.
//
//	stand3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	site *site
	mu   sync.Mutex
	file *os.File
	sent map[sentKey]time.Time
	// requests has what became of each request, by its id.
	requests map[string]*requestRecord
}

// requestRecord is what became of a request: when its client first sent it, which endpoint ran it first and when, and when its answer came.
type requestRecord struct {
	sent, run, answered time.Time
	endpoint            string
}

// request returns the record of a request. The caller holds r.mu.
func (r *recorder) request(id string) *requestRecord {
	q := r.requests[id]
	if q == nil {
		q = &requestRecord{}
		r.requests[id] = q
	}
	return q
}

func (r *recorder) sentRequest(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.request(id).sent = time.Now()
}

func (r *recorder) answeredRequest(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.request(id).answered = time.Now()
}

// writeRequests writes a line for each request.
func (r *recorder) writeRequests() {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(r.site.startAt).Seconds())
	}
	ids := slices.SortedFunc(maps.Keys(r.requests), func(a, b string) int { return r.requests[a].sent.Compare(r.requests[b].sent) })
	_, _ = fmt.Fprintln(r.file, "requests that were sent on open flows: id, sent, run, at endpoint, answered")
	for _, id := range ids {
		q := r.requests[id]
		_, _ = fmt.Fprintf(r.file, "%s, %s, %s, %s, %s\n", id, at(q.sent), at(q.run), q.endpoint, at(q.answered))
	}
}

type sentKey struct {
	key [2]netip.AddrPort
	seq uint32
	// copyNumber tells the copies of an opening packet apart.
	copyNumber uint32
}

func (r *recorder) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := 0.0
	if r.site != nil {
		at = time.Since(r.site.startAt).Seconds()
	}
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", at, fmt.Sprintf(format, arguments...))
}

func (r *recorder) noteSent(key [2]netip.AddrPort, p packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[sentKey{key, p.seq, p.ack}] = time.Now()
}

func (r *recorder) sentAt(key [2]netip.AddrPort, p packet) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[sentKey{key, p.seq, p.ack}]
}

func (r *recorder) run(id, endpoint string) {
	r.mu.Lock()
	q := r.request(id)
	other, again := q.endpoint, !q.run.IsZero()
	if !again {
		q.run, q.endpoint = time.Now(), endpoint
	}
	r.mu.Unlock()
	if again {
		r.line("request %q runs twice: at %s and at %s", id, other, endpoint)
	}
}

func check(err error) {
	if err != nil {
		fatal("%v", err)
	}
}

var current *site

func fatal(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", arguments...)
	if current != nil {
		current.record.line("the case couldn't run: "+format, arguments...)
		current.close()
	}
	os.Exit(2)
}

func main() {
	cases := map[string]func(s *site, trouble bool) (broken bool){"coldrate": coldRate, "portreuse": portReuse, "lookup": lookup, "otherwriter": otherWriter, "entries": entries, "late": late}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatal("usage: stand3 CASE RECORD")
	}
	file, err := os.Create(os.Args[2])
	check(err)
	program, err := filepath.Abs("target/lentilpacket")
	check(err)
	if _, err = os.Stat(program); err != nil {
		fatal("target/lentilpacket is missing: %v", err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r := &recorder{file: file, sent: make(map[sentKey]time.Time), requests: make(map[string]*requestRecord)}
	s, err := newSite(r, program)
	check(err)
	current = s
	r.line("case %s, disruption: %t", os.Args[1], trouble)
	time.AfterFunc(110*time.Second, func() { fatal("the case takes too long") })
	broken := cases[os.Args[1]](s, trouble)
	s.close()
	r.writeRequests()
	r.line("the rule was broken: %t", broken)
	_ = file.Close()
	if broken {
		os.Exit(1)
	}
}
