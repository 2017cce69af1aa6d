package lentilagent

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// certificateCheckInterval is how often the certificate's files are looked at.
const certificateCheckInterval = 5 * time.Second

// certificate is the TLS certificate that callers see. It is read anew when its
// files change; one that can't be used leaves the earlier one in use.
type certificate struct {
	certificateFile, keyFile string

	mu      sync.RWMutex
	current *tls.Certificate
	modTime time.Time
}

// load reads the files.
func (c *certificate) load() (err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "load certificate %s", c.certificateFile)
		}
	}()
	changed := c.lastModified()
	c.mu.Lock()
	c.modTime = changed
	c.mu.Unlock()
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &pair
	return nil
}

// lastModified returns when the files changed last.
func (c *certificate) lastModified() (at time.Time) {
	for _, name := range []string{c.certificateFile, c.keyFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(at) {
			at = info.ModTime()
		}
	}
	return at
}

// filesChanged reports whether the files have changed since they were read.
func (c *certificate) filesChanged() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return !c.lastModified().Equal(c.modTime)
}

// getCertificate implements tls.Config.GetCertificate.
func (c *certificate) getCertificate(*tls.ClientHelloInfo) (pair *tls.Certificate, err error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.current, nil
}
