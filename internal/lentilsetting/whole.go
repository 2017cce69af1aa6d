package lentilsetting

import (
	"crypto/tls"
	"fmt"
	"strings"
)

// The checks here look at more than one field, or at a file that a field names.
// They run also when single fields have faults, so that all faults are named at
// once, and leave out what has been named already.

// distinct adds a fault if two TCP addresses are the same.
func (r *reading) distinct(field, value, other, otherValue string) {
	if value != "" && value == otherValue {
		r.add(Clash, field, "%s is also the %s", value, other)
		r.exemplify(len(r.faults)-1, controlField)
	}
}

// token returns the content of the file with the platform's token.
func (r *reading) token(field, name string) string {
	if name == "" || r.has(field) {
		return ""
	}
	data, _ := r.read(field, r.resolve(name))
	return strings.TrimSpace(string(data))
}

// keys returns the shared secrets.
func (r *reading) keys(docs []KeyDoc) (keys []Key) {
	seen := make(map[uint8]int, len(docs))
	for i, doc := range docs {
		path := fmt.Sprintf("keys[%d]", i)
		if first, ok := seen[doc.ID]; ok && !r.has(path+".id") {
			r.add(Clash, path+".id", "%d is also the id of keys[%d]", doc.ID, first)
			r.exemplify(len(r.faults)-1, *find(keyFields, "id"))
		}
		seen[doc.ID] = i
		keys = append(keys, Key{id: doc.ID, secret: r.secret(path, doc)})
	}
	return keys
}

func (r *reading) secret(path string, doc KeyDoc) []byte {
	inline, file := path+".secret", path+".secretFile"
	if r.has(path) || r.has(inline) || r.has(file) {
		return nil
	}
	switch {
	case doc.Secret != "" && doc.SecretFile != "":
		r.add(Clash, inline, "secretFile is given too; give one of them")
		r.exemplify(len(r.faults)-1, *find(keyFields, "secretFile"))
		return nil
	case doc.Secret != "":
		return r.decoded(inline, doc.Secret)
	case doc.SecretFile == "":
		r.add(MissingField, file, "secretFile or secret is needed")
		r.exemplify(len(r.faults)-1, *find(keyFields, "secretFile"))
		return nil
	}
	data, ok := r.read(file, r.resolve(doc.SecretFile))
	if !ok {
		return nil
	}
	return r.decoded(file, string(data))
}

func (r *reading) decoded(field, written string) []byte {
	secret, reason := decodeSecret(written)
	if reason != "" {
		r.add(BadSecret, field, "%s", reason)
	}
	return secret
}

// certificate adds a fault if the files don't hold a certificate and its key.
func (r *reading) certificate(files TLSDoc) {
	if files.CertificateFile == "" || files.KeyFile == "" {
		return
	}
	certificate, readCertificate := r.read("tls.certificateFile", files.CertificateFile)
	key, readKey := r.read("tls.keyFile", files.KeyFile)
	if !readCertificate || !readKey {
		return
	}
	if _, err := tls.X509KeyPair(certificate, key); err != nil {
		r.add(BadCertificate, "tls", "%s", err)
	}
}
