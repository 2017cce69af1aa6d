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
	// maxInflatedBytes is the maximum size of a decompressed delta, head or shard.
	maxInflatedBytes = 4 << 20
	// shardsPerCall is the maximum number of shards requested in one call.
	shardsPerCall = 4
)

// errInflatedTooLong is returned if a decompressed body exceeds maxInflatedBytes.
var errInflatedTooLong = errors.New("decompressed body is too large")

// pullState is the state of fetching a newer configuration from a peer.
type pullState struct {
	inFlight    bool
	nextFetchAt time.Time
	backoff     lentilbudget.Backoff
	// fetchFull is true after a failure: the next fetch asks for the head instead of a delta.
	fetchFull bool
	// source is the control address of the peer that the configuration is fetched from.
	source netip.AddrPort
	// assembly collects the shards while a complete configuration is fetched; otherwise nil.
	assembly *lentilconfig.Assembly
}

// Offer puts a configuration from the platform into force if it is newer.
func (n *Node) Offer(document lentilconfig.Document) (err error) {
	version := n.configuration.Version()
	err = n.configuration.Offer(document)
	n.handleVersionChange(version)
	return err
}

// Assemble returns an assembly for a head read from the platform. It already contains the
// shards held here.
func (n *Node) Assemble(head lentilconfig.HeadDoc) (assembly *lentilconfig.Assembly, err error) {
	return n.configuration.NewAssembly(head)
}

// handleVersionChange makes exchanges with the peers that hold an older configuration due at
// once, if the version in force differs from the previous one.
func (n *Node) handleVersionChange(previous uint64) {
	if n.configuration.Version() == previous {
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

// dueFetch returns the next call to fetch a newer configuration, if one is due.
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

// newerPeers returns the peers that hold a newer configuration. Peers of other regions are
// returned only if there are none in this node's region.
func (n *Node) newerPeers() (near []*peer) {
	var far []*peer
	for _, runID := range n.peerOrder {
		p := n.peers[runID]
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

// heldDigest returns the digest of the configuration in force, or "" to request a complete
// configuration.
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

// handleFetched processes the answer to a fetch, which is nil after a failure. After any
// error the fetch starts over after a delay, possibly from another peer.
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

// lowerPeerVersion sets the assumed configuration version of a peer to the one that it
// answered with, or 0 if it didn't answer.
func (n *Node) lowerPeerVersion(controlAddress netip.AddrPort, version uint64) {
	for _, p := range n.peers {
		if p.controlAddress == controlAddress {
			p.configurationVersion = version
		}
	}
}

func (n *Node) applyFetched(request *lentilcontrolpb.FetchConfigurationRequest, response *lentilcontrolpb.FetchConfigurationResponse) (err error) {
	switch {
	case response == nil:
		return errors.New("configuration fetch failed")
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
		return errors.New("peer no longer holds the requested shards")
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

// applyAssembly puts the assembled configuration into force if it is complete.
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

// HandleFetchConfiguration answers a fetch request with the requested shards, with a delta
// from the configuration that the peer holds, or with the head if there is no such delta.
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

// pack returns the deflated CBOR encoding of a document.
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
