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
// connection. It requires a client certificate and rejects a peer whose public key isn't
// derived from a secret of the ring.
func (r Ring) ServerTLS(protocols ...string) (config *tls.Config, err error) {
	config, err = r.tlsConfig(protocols)
	if err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAnyClientCert
	return config, nil
}

// ClientTLS returns the configuration for the dialling side of a control
// connection. It presents a client certificate and rejects a peer whose public key isn't
// derived from a secret of the ring.
func (r Ring) ClientTLS(protocols ...string) (config *tls.Config, err error) {
	return r.tlsConfig(protocols)
}

// tlsConfig returns the configuration for both sides. A peer is identified by its public key
// alone; the names, addresses and dates in its certificate are ignored.
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
		return nil, ErrRing.New("the key ring is empty")
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
		// VerifyConnection replaces the check of the name and the certificate authority.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection compares the public key.
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyPeer(s, identities) },
	}, nil
}

// deriveIdentities derives one identity from each secret, in the order of the ring.
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

// certificate returns a self-signed certificate with the identity's public key.
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

// verifyPeer returns an error if no identity has the public key of the peer. The handshake
// has already proved that the peer holds the private key.
func verifyPeer(state tls.ConnectionState, identities []identity) (err error) {
	if len(state.PeerCertificates) == 0 {
		return ErrUnknownPeer.New("the peer presented no certificate")
	}
	public, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return ErrUnknownPeer.New("the peer's public key is not an Ed25519 key")
	}
	for _, known := range identities {
		if known.public.Equal(public) {
			return nil
		}
	}
	return ErrUnknownPeer.New("the peer's public key matches no secret of the key ring")
}
