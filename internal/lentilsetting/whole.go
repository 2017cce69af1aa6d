package lentilsetting

import (
	"crypto/tls"
	"fmt"
	"strings"
)

// The checks here look at more than one field, or at a file that a field names.
// They run also when single fields have faults, so that all faults are named at
// once, and leave out what has been named already.

// requireDistinct adds a fault if two TCP addresses are the same.
func (r *fileReader) requireDistinct(field, value, other, otherValue string) {
	if value != "" && value == otherValue {
		r.add(Clash, field, "%s is also the %s", value, other)
		r.setExamples(len(r.fieldErrors)-1, controlField)
	}
}

// readToken returns the content of the file with the platform's readToken.
func (r *fileReader) readToken(field, name string) string {
	if name == "" || r.hasError(field) {
		return ""
	}
	data, _ := r.readFile(field, r.resolvePath(name))
	return strings.TrimSpace(string(data))
}

// readKeys returns the shared secrets.
func (r *fileReader) readKeys(docs []KeyDoc) (keys []Key) {
	seen := make(map[uint8]int, len(docs))
	for i, doc := range docs {
		path := fmt.Sprintf("keys[%d]", i)
		if first, ok := seen[doc.ID]; ok && !r.hasError(path+".id") {
			r.add(Clash, path+".id", "%d is also the id of keys[%d]", doc.ID, first)
			r.setExamples(len(r.fieldErrors)-1, *findField(keyFields, "id"))
		}
		seen[doc.ID] = i
		keys = append(keys, Key{id: doc.ID, secret: r.readSecret(path, doc)})
	}
	return keys
}

func (r *fileReader) readSecret(path string, doc KeyDoc) []byte {
	inline, file := path+".secret", path+".secretFile"
	if r.hasError(path) || r.hasError(inline) || r.hasError(file) {
		return nil
	}
	switch {
	case doc.Secret != "" && doc.SecretFile != "":
		r.add(Clash, inline, "secretFile is given too; give one of them")
		r.setExamples(len(r.fieldErrors)-1, *findField(keyFields, "secretFile"))
		return nil
	case doc.Secret != "":
		return r.decodeSecretField(inline, doc.Secret)
	case doc.SecretFile == "":
		r.add(MissingField, file, "secretFile or secret is needed")
		r.setExamples(len(r.fieldErrors)-1, *findField(keyFields, "secretFile"))
		return nil
	}
	data, ok := r.readFile(file, r.resolvePath(doc.SecretFile))
	if !ok {
		return nil
	}
	return r.decodeSecretField(file, string(data))
}

func (r *fileReader) decodeSecretField(field, written string) []byte {
	secret, reason := decodeSecret(written)
	if reason != "" {
		r.add(BadSecret, field, "%s", reason)
	}
	return secret
}

// checkCertificate adds a fault if the files don't hold a checkCertificate and its key.
func (r *fileReader) checkCertificate(files TLSDoc) {
	if files.CertificateFile == "" || files.KeyFile == "" {
		return
	}
	certificate, readCertificate := r.readFile("tls.certificateFile", files.CertificateFile)
	key, readKey := r.readFile("tls.keyFile", files.KeyFile)
	if !readCertificate || !readKey {
		return
	}
	if _, err := tls.X509KeyPair(certificate, key); err != nil {
		r.add(BadCertificate, "tls", "%s", err)
	}
}
