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
	// maxInflatedBytes is the size of a delta, head or shard in bytes, at most.
	maxInflatedBytes = 4 << 20
	// shardsPerCall is how many shards one call asks for.
	shardsPerCall = 4
)

// errInflatedTooLong says that a body is larger than inflatedMax once inflated.
var errInflatedTooLong = errors.New("inflated body is too long")

// pullState is the state of fetching a newer configuration from a peer.
type pullState struct {
	inFlight    bool
	nextFetchAt time.Time
	backoff     lentilbudget.Backoff
	// fetchFull is true after a delta was refused.
	fetchFull bool
	source    netip.AddrPort
	assembly  *lentilconfig.Assembly
}

// Offer puts a configuration from the platform into force if it is newer.
func (n *Node) Offer(document lentilconfig.Document) (err error) {
	version := n.configuration.Version()
	err = n.configuration.Offer(document)
	n.handleVersionChange(version)
	return err
}

// Assemble returns an assembly for a head read from the platform, with the shards
// that are held in place.
func (n *Node) Assemble(head lentilconfig.HeadDoc) (assembly *lentilconfig.Assembly, err error) {
	return n.configuration.NewAssembly(head)
}

// handleVersionChange tells all neighbours at once if a newer configuration is in force.
func (n *Node) handleVersionChange(former uint64) {
	if n.configuration.Version() == former {
		return
	}
	n.inForceSince = n.now()
	n.liveReport.allDirty = true
	for _, p := range n.peers {
		if p.configurationVersion < n.configuration.Version() && p.backoff.Failures() == 0 {
			p.nextCallAt = n.now()
		}
	}
}

// dueFetch returns the next call that fetches a newer configuration, if any.
func (n *Node) dueFetch(now time.Time) []Call {
	if n.pull.inFlight || now.Before(n.pull.nextFetchAt) {
		return nil
	}
	if n.pull.assembly != nil {
		return n.fetchShards()
	}
	ahead := n.newerPeers()
	if len(ahead) == 0 {
		return nil
	}
	n.pull.source = ahead[n.randomInt(len(ahead))].controlAddress
	return n.startFetch(&lentilcontrolpb.FetchConfigurationRequest{
		HaveVersion: n.configuration.Version(),
		HaveDigest:  n.heldDigest(),
	})
}

// newerPeers returns the peers that hold a newer configuration, those of the own
// region alone if there are any.
func (n *Node) newerPeers() (near []*peer) {
	var far []*peer
	for _, run := range n.peerOrder {
		p := n.peers[run]
		if p.configurationVersion <= n.configuration.Version() || p.backoff.Failures() > 0 {
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

// heldDigest returns the digest of what is held, or "" to ask for the whole.
func (n *Node) heldDigest() string {
	if n.pull.fetchFull {
		return ""
	}
	return string(n.configuration.Digest())
}

func (n *Node) fetchShards() []Call {
	missing := n.pull.assembly.Missing()
	request := &lentilcontrolpb.FetchConfigurationRequest{}
	for _, name := range missing[:min(shardsPerCall, len(missing))] {
		request.Shards = append(request.Shards, string(name))
	}
	return n.startFetch(request)
}

func (n *Node) startFetch(request *lentilcontrolpb.FetchConfigurationRequest) []Call {
	n.pull.inFlight = true
	return []Call{{To: n.pull.source, Fetch: request}}
}

// handleFetched takes in the answer to a fetch, or a failure. Whatever goes wrong, the
// next try starts over, after a delay and perhaps with another peer.
func (n *Node) handleFetched(call Call, response *lentilcontrolpb.FetchConfigurationResponse) {
	n.pull.inFlight = false
	version := n.configuration.Version()
	err := n.applyFetched(call.Fetch, response)
	n.handleVersionChange(version)
	if err == nil && (n.configuration.Version() > version || n.pull.assembly != nil) {
		n.pull.backoff.Reset()
		return
	}
	n.lowerPeerVersion(call.To, response.GetVersion())
	n.pull.assembly = nil
	n.pull.fetchFull = true
	n.pull.backoff.Random = n.Random
	n.pull.nextFetchAt = n.now().Add(n.pull.backoff.Next())
}

// lowerPeerVersion lowers what a peer is thought to hold to what it has shown.
func (n *Node) lowerPeerVersion(control netip.AddrPort, version uint64) {
	for _, p := range n.peers {
		if p.controlAddress == control {
			p.configurationVersion = version
		}
	}
}

func (n *Node) applyFetched(request *lentilcontrolpb.FetchConfigurationRequest, response *lentilcontrolpb.FetchConfigurationResponse) (err error) {
	switch {
	case response == nil:
		return errors.New("call failed")
	case len(request.GetShards()) > 0:
		return n.addShards(request.GetShards(), response.GetShards())
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
		n.pull.assembly, err = n.configuration.NewAssembly(head)
		if err != nil {
			return err
		}
		return n.applyAssembly()
	}
	return nil
}

func (n *Node) addShards(names []string, bodies [][]byte) (err error) {
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
	return n.applyAssembly()
}

// applyAssembly puts the assembly into force once it is complete.
func (n *Node) applyAssembly() (err error) {
	if len(n.pull.assembly.Missing()) > 0 {
		return nil
	}
	document, err := n.pull.assembly.Document()
	n.pull.assembly = nil
	if err != nil {
		return err
	}
	n.pull.fetchFull = false
	return n.configuration.Offer(document)
}

// HandleFetchConfiguration answers a peer that lacks a configuration.
func (n *Node) HandleFetchConfiguration(request *lentilcontrolpb.FetchConfigurationRequest) (response *lentilcontrolpb.FetchConfigurationResponse, err error) {
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
	body, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(deflated)), maxInflatedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxInflatedBytes {
		return nil, errInflatedTooLong
	}
	return body, nil
}
