package lentilcontrol

import (
	"context"
	"errors"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// errShardsGone is returned if a balancer replaced its configuration while it was fetched.
var errShardsGone = errors.New("balancer no longer holds the requested shards")

// FetchConfiguration fetches the complete configuration in force at a balancer, for an
// operator whose platform has lost it.
func (s *Survey) FetchConfiguration(ctx context.Context, from netip.AddrPort) (document lentilconfig.Document, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "fetch configuration from %s", from)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := s.fetch(ctx, from, &lentilcontrolpb.FetchConfigurationRequest{})
	if err != nil {
		return lentilconfig.Document{}, err
	}
	var head lentilconfig.HeadDoc
	if err = unpack(response.GetHead(), &head); err != nil {
		return lentilconfig.Document{}, err
	}
	assembly := lentilconfig.NewAssembly(head)
	for missing := assembly.Missing(); len(missing) > 0; missing = assembly.Missing() {
		if err = s.fetchShards(ctx, from, assembly, missing[:min(shardsPerCall, len(missing))]); err != nil {
			return lentilconfig.Document{}, err
		}
	}
	return assembly.Document()
}

func (s *Survey) fetchShards(ctx context.Context, from netip.AddrPort, assembly *lentilconfig.Assembly, names []lentilconfig.Digest) (err error) {
	request := &lentilcontrolpb.FetchConfigurationRequest{}
	for _, name := range names {
		request.Shards = append(request.Shards, string(name))
	}
	response, err := s.fetch(ctx, from, request)
	if err != nil {
		return err
	}
	if len(response.GetShards()) != len(names) {
		return errShardsGone
	}
	for i, name := range names {
		body, err := inflate(response.GetShards()[i])
		if err != nil {
			return err
		}
		if err = assembly.Add(name, body); err != nil {
			return err
		}
	}
	return nil
}

func (s *Survey) fetch(ctx context.Context, from netip.AddrPort, request *lentilcontrolpb.FetchConfigurationRequest) (response *lentilcontrolpb.FetchConfigurationResponse, err error) {
	answer, err := s.Dialer.Client(from).FetchConfiguration(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}
