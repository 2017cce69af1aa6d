package lentilkey

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/joomcode/errorx"
)

// ErrUnknownPeer is the type of errors about a peer that holds no secret of the ring.
var ErrUnknownPeer = Namespace.NewType("stranger")

// identity is the TLS identity derived from one secret.
type identity struct {
	private ed25519.PrivateKey
	public  ed25519.PublicKey
}

// ServerTLS returns the configuration for the listening side of a control
// connection. It asks the peer for an identity and refuses strangers.
func (r Ring) ServerTLS(protocols ...string) (config *tls.Config, err error) {
	config, err = r.tlsConfig(protocols)
	if err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAnyClientCert
	return config, nil
}

// ClientTLS returns the configuration for the dialling side of a control
// connection. It shows an identity and refuses strangers.
func (r Ring) ClientTLS(protocols ...string) (config *tls.Config, err error) {
	return r.tlsConfig(protocols)
}

// tlsConfig returns what both sides share. A peer is known by its public key alone:
// names, addresses and dates in its certificate say nothing.
func (r Ring) tlsConfig(protocols []string) (config *tls.Config, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "make TLS configuration")
		}
	}()
	identities, err := r.deriveIdentities()
	if err != nil {
		return nil, err
	}
	if len(identities) == 0 {
		return nil, ErrRing.New("there is no key")
	}
	certificate, err := identities[0].certificate()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{certificate},
		NextProtos:             protocols,
		SessionTicketsDisabled: true,
		// The check by name and authority is replaced by VerifyConnection.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection compares the public key.
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyPeer(s, identities) },
	}, nil
}

// deriveIdentities derives one identity from each secret, the signing one first.
func (r Ring) deriveIdentities() (identities []identity, err error) {
	keys, err := r.Derive(Identity, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	for _, k := range keys {
		private := ed25519.NewKeyFromSeed(k.bytes)
		public := private.Public().(ed25519.PublicKey)
		identities = append(identities, identity{private: private, public: public})
	}
	return identities, nil
}

// certificate returns a certificate that carries the public key.
func (i identity) certificate() (certificate tls.Certificate, err error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "lentilstair"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, i.public, i.private)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: i.private}, nil
}

// verifyPeer refuses a peer whose public key none of the identities has. The
// handshake has already proved that the peer holds the private key.
func verifyPeer(state tls.ConnectionState, identities []identity) (err error) {
	if len(state.PeerCertificates) == 0 {
		return ErrUnknownPeer.New("the peer showed no identity")
	}
	public, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return ErrUnknownPeer.New("the peer's key is not of the kind ed25519")
	}
	for _, known := range identities {
		if known.public.Equal(public) {
			return nil
		}
	}
	return ErrUnknownPeer.New("the peer holds no secret of the key ring")
}
