package lentilcontrol

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// Limits of configuration messages.
const (
	// inflatedMax is the size of a delta, head or shard in bytes, at most.
	inflatedMax = 4 << 20
	// shardsPerCall is how many shards one call asks for.
	shardsPerCall = 4
)

// errTooLong says that a body is larger than inflatedMax once inflated.
var errTooLong = errors.New("inflated body is too long")

// pull is the state of fetching a newer configuration from a peer.
type pull struct {
	inFlight bool
	due      time.Time
	backoff  lentilbudget.Backoff
	// whole is true after a delta was refused.
	whole    bool
	from     netip.AddrPort
	assembly *lentilconfig.Assembly
}

// Offer puts a configuration from the platform into force if it is newer.
func (n *Node) Offer(document lentilconfig.Document) (err error) {
	version := n.configuration.Version()
	err = n.configuration.Offer(document)
	n.moved(version)
	return err
}

// Assemble returns an assembly for a head read from the platform, with the shards
// that are held in place.
func (n *Node) Assemble(head lentilconfig.HeadDoc) (assembly *lentilconfig.Assembly, err error) {
	return n.configuration.Assemble(head)
}

// moved tells all neighbours at once if a newer configuration is in force.
func (n *Node) moved(former uint64) {
	if n.configuration.Version() == former {
		return
	}
	n.inForce = n.now()
	n.live.whole = true
	for _, p := range n.peers {
		if p.configuration < n.configuration.Version() && p.backoff.Failures() == 0 {
			p.due = n.now()
		}
	}
}

// pulling returns the next call that fetches a newer configuration, if any.
func (n *Node) pulling(now time.Time) []Call {
	if n.pull.inFlight || now.Before(n.pull.due) {
		return nil
	}
	if n.pull.assembly != nil {
		return n.pullShards()
	}
	ahead := n.ahead()
	if len(ahead) == 0 {
		return nil
	}
	n.pull.from = ahead[n.draw(len(ahead))].control
	return n.fetch(&lentilcontrolpb.FetchConfigurationRequest{
		HaveVersion: n.configuration.Version(),
		HaveDigest:  n.have(),
	})
}

// ahead returns the peers that hold a newer configuration, those of the own
// region alone if there are any.
func (n *Node) ahead() (near []*peer) {
	var far []*peer
	for _, run := range n.order {
		p := n.peers[run]
		if p.configuration <= n.configuration.Version() || p.backoff.Failures() > 0 {
			continue
		}
		if p.region == n.region() {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	if len(near) == 0 {
		return far
	}
	return near
}

// have returns the digest of what is held, or "" to ask for the whole.
func (n *Node) have() string {
	if n.pull.whole {
		return ""
	}
	return string(n.configuration.Digest())
}

func (n *Node) pullShards() []Call {
	missing := n.pull.assembly.Missing()
	request := &lentilcontrolpb.FetchConfigurationRequest{}
	for _, name := range missing[:min(shardsPerCall, len(missing))] {
		request.Shards = append(request.Shards, string(name))
	}
	return n.fetch(request)
}

func (n *Node) fetch(request *lentilcontrolpb.FetchConfigurationRequest) []Call {
	n.pull.inFlight = true
	return []Call{{To: n.pull.from, Fetch: request}}
}

// fetched takes in the answer to a fetch, or a failure. Whatever goes wrong, the
// next try starts over, after a delay and perhaps with another peer.
func (n *Node) fetched(call Call, response *lentilcontrolpb.FetchConfigurationResponse) {
	n.pull.inFlight = false
	version := n.configuration.Version()
	err := n.take(call.Fetch, response)
	n.moved(version)
	if err == nil && (n.configuration.Version() > version || n.pull.assembly != nil) {
		n.pull.backoff.Reset()
		return
	}
	n.doubt(call.To, response.GetVersion())
	n.pull.assembly = nil
	n.pull.whole = true
	n.pull.backoff.Random = n.Random
	n.pull.due = n.now().Add(n.pull.backoff.Next())
}

// doubt lowers what a peer is thought to hold to what it has shown.
func (n *Node) doubt(control netip.AddrPort, version uint64) {
	for _, p := range n.peers {
		if p.control == control {
			p.configuration = version
		}
	}
}

func (n *Node) take(request *lentilcontrolpb.FetchConfigurationRequest, response *lentilcontrolpb.FetchConfigurationResponse) (err error) {
	switch {
	case response == nil:
		return errors.New("call failed")
	case len(request.GetShards()) > 0:
		return n.takeShards(request.GetShards(), response.GetShards())
	case len(response.GetDelta()) > 0:
		var delta lentilconfig.DeltaDoc
		if err = unpack(response.GetDelta(), &delta); err != nil {
			return err
		}
		return n.configuration.OfferDelta(delta)
	case len(response.GetHead()) > 0:
		var head lentilconfig.HeadDoc
		if err = unpack(response.GetHead(), &head); err != nil {
			return err
		}
		n.pull.assembly, err = n.configuration.Assemble(head)
		if err != nil {
			return err
		}
		return n.finish()
	}
	return nil
}

func (n *Node) takeShards(names []string, bodies [][]byte) (err error) {
	if len(names) != len(bodies) {
		return errors.New("peer no longer holds the shards")
	}
	for i, name := range names {
		body, err := inflate(bodies[i])
		if err != nil {
			return err
		}
		if err = n.pull.assembly.Add(lentilconfig.Digest(name), body); err != nil {
			return err
		}
	}
	return n.finish()
}

// finish puts the assembly into force once it is complete.
func (n *Node) finish() (err error) {
	if len(n.pull.assembly.Missing()) > 0 {
		return nil
	}
	document, err := n.pull.assembly.Document()
	n.pull.assembly = nil
	if err != nil {
		return err
	}
	n.pull.whole = false
	return n.configuration.Offer(document)
}

// FetchConfiguration answers a peer that lacks a configuration.
func (n *Node) FetchConfiguration(request *lentilcontrolpb.FetchConfigurationRequest) (response *lentilcontrolpb.FetchConfigurationResponse, err error) {
	response = &lentilcontrolpb.FetchConfigurationResponse{Version: n.configuration.Version()}
	if len(request.GetShards()) > 0 {
		return response, n.answerShards(request.GetShards(), response)
	}
	if request.GetHaveVersion() >= n.configuration.Version() {
		return response, nil
	}
	delta, found := n.configuration.Delta(request.GetHaveVersion(), lentilconfig.Digest(request.GetHaveDigest()))
	if found {
		response.Delta, err = pack(delta)
		return response, err
	}
	response.Head, err = pack(n.configuration.Head())
	return response, err
}

func (n *Node) answerShards(names []string, response *lentilcontrolpb.FetchConfigurationResponse) (err error) {
	for _, name := range names[:min(shardsPerCall, len(names))] {
		body, found := n.configuration.Shard(lentilconfig.Digest(name))
		if !found {
			response.Shards = nil
			return nil
		}
		body, err = deflate(body)
		if err != nil {
			return err
		}
		response.Shards = append(response.Shards, body)
	}
	return nil
}

// pack returns the deflated CBOR form of a document.
func pack(document any) (body []byte, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "pack document")
		}
	}()
	body, err = cbor.Marshal(document)
	if err != nil {
		return nil, err
	}
	return deflate(body)
}

func unpack(body []byte, document any) (err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "unpack document")
		}
	}()
	body, err = inflate(body)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(body, document)
}

func deflate(body []byte) (deflated []byte, err error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err = writer.Write(body); err != nil {
		return nil, err
	}
	if err = writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func inflate(deflated []byte) (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(deflated)), inflatedMax+1))
	if err != nil {
		return nil, err
	}
	if len(body) > inflatedMax {
		return nil, errTooLong
	}
	return body, nil
}
