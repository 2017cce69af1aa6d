package lentillab

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/joomcode/errorx"
)

// Names of files in the lab's directory.
const (
	certificateFile = "certificate.pem"
	keyFile         = "certificate-key.pem"
	secretFile      = "key-1"
)

const (
	// secretBytes is the length of the shared secret.
	secretBytes = 32
	// certificateValidity is how long the certificate of a lab is valid.
	certificateValidity = 24 * time.Hour
)

// writeCredentials writes a fresh certificate for localhost and a fresh shared secret.
func (l *Lab) writeCredentials() (err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "write credentials")
		}
	}()
	certificate, key, err := selfSignedCertificate(time.Now())
	if err != nil {
		return err
	}
	if _, err = l.WriteFile(certificateFile, certificate); err != nil {
		return err
	}
	if _, err = l.WriteFile(keyFile, key); err != nil {
		return err
	}
	secret := make([]byte, secretBytes)
	if _, err = rand.Read(secret); err != nil {
		return err
	}
	_, err = l.WriteFile(secretFile, []byte(base64.StdEncoding.EncodeToString(secret)+"\n"))
	return err
}

// selfSignedCertificate returns a certificate for localhost and its key, in PEM.
func selfSignedCertificate(now time.Time) (certificate, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(now.UnixNano()),
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(certificateValidity),
		DNSNames:              []string{"localhost"},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return nil, nil, err
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, err
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return certificate, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8}), nil
}
