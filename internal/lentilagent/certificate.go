package lentilagent

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// certificateCheckInterval is how often the certificate files are checked for changes.
const certificateCheckInterval = 5 * time.Second

// certificate is the TLS certificate that the agent presents to callers. It is reloaded
// when its files change. If the new files can't be used, the previous certificate stays
// in use.
type certificate struct {
	certificateFile, keyFile string

	mu      sync.RWMutex
	current *tls.Certificate
	modTime time.Time
}

// load reads the certificate and its key.
func (c *certificate) load() (err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "load certificate %s", c.certificateFile)
		}
	}()
	modified := c.lastModified()
	c.mu.Lock()
	c.modTime = modified
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

// lastModified returns the later modification time of the two files.
func (c *certificate) lastModified() (modified time.Time) {
	for _, name := range []string{c.certificateFile, c.keyFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(modified) {
			modified = info.ModTime()
		}
	}
	return modified
}

// filesChanged reports whether the files have changed since they were last read.
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
