package lentilcontrol

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

// servicePart is the part of a configuration that the agents of one service need: the
// service, its copies and the failure domains.
type servicePart struct {
	// digest is a hash of the content without the version. It stays the same if a new
	// version doesn't affect the service.
	digest uint64
	// body is the deflated JSON encoding.
	body []byte
}

// servicePartCache caches the service parts of the configuration in force.
type servicePartCache struct {
	version uint64
	parts   map[lentilid.Service]servicePart
}

// get returns the part for a service. It builds the part at the first use in each
// configuration version.
func (c *servicePartCache) get(configuration lentilconfig.Configuration, service lentilid.Service) (p servicePart, err error) {
	if c.version != configuration.Version() || c.parts == nil {
		c.version = configuration.Version()
		c.parts = map[lentilid.Service]servicePart{}
	}
	p, ok := c.parts[service]
	if ok {
		return p, nil
	}
	p, err = newServicePart(configuration.ServicePart(service))
	if err != nil {
		return servicePart{}, err
	}
	c.parts[service] = p
	return p, nil
}

func newServicePart(document lentilconfig.Document) (p servicePart, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "build service part of configuration")
		}
	}()
	body, err := json.Marshal(document)
	if err != nil {
		return servicePart{}, err
	}
	p.body, err = deflate(body)
	if err != nil {
		return servicePart{}, err
	}
	p.digest, err = contentDigest(document)
	return p, err
}

// contentDigest hashes a document without the fields that change in every version.
func contentDigest(document lentilconfig.Document) (digest uint64, err error) {
	document.Version = 0
	document.NoteID = ""
	body, err := json.Marshal(document)
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(body), nil
}

// openServicePart decodes the body of a service part and returns the configuration and its
// digest.
func openServicePart(body []byte) (configuration lentilconfig.Configuration, digest uint64, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "decode service part of configuration")
		}
	}()
	body, err = inflate(body)
	if err != nil {
		return lentilconfig.Configuration{}, 0, err
	}
	var document lentilconfig.Document
	if err = json.Unmarshal(body, &document); err != nil {
		return lentilconfig.Configuration{}, 0, err
	}
	configuration, err = lentilconfig.New(document)
	if err != nil {
		return lentilconfig.Configuration{}, 0, err
	}
	digest, err = contentDigest(document)
	return configuration, digest, err
}
