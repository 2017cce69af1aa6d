package lentilsetting

import (
	"crypto/tls"
	"fmt"
	"strings"
)

// The checks in this file compare fields or read files that a field refers to. They
// also run if single fields are invalid, because all errors are reported at once.
// readToken and readSecret skip fields that already have an error.

// requireDistinct adds an error for the first of two fields if they hold the same TCP
// address. It compares the values as written.
func (r *fileReader) requireDistinct(field, value, otherField, otherValue string) {
	if value != "" && value == otherValue {
		r.add(Clash, field, "%s is also the %s", value, otherField)
		r.setExamples(len(r.fieldErrors)-1, controlField)
	}
}

// readToken returns the content of the file with the platform's token.
func (r *fileReader) readToken(field, name string) string {
	if name == "" || r.hasError(field) {
		return ""
	}
	data, _ := r.readFile(field, r.resolvePath(name))
	return strings.TrimSpace(string(data))
}

// readKeys returns the shared secrets and adds an error for each ID that is used twice.
func (r *fileReader) readKeys(docs []KeyDoc) (keys []Key) {
	indexByID := make(map[uint8]int, len(docs))
	for i, doc := range docs {
		path := fmt.Sprintf("keys[%d]", i)
		if first, ok := indexByID[doc.ID]; ok && !r.hasError(path+".id") {
			r.add(Clash, path+".id", "%d is also the id of keys[%d]", doc.ID, first)
			r.setExamples(len(r.fieldErrors)-1, *findField(keyFields, "id"))
		}
		indexByID[doc.ID] = i
		keys = append(keys, Key{id: doc.ID, secret: r.readSecret(path, doc)})
	}
	return keys
}

// readSecret returns the decoded secret of a key, given inline or in a file.
func (r *fileReader) readSecret(path string, doc KeyDoc) []byte {
	inline, file := path+".secret", path+".secretFile"
	if r.hasError(path) || r.hasError(inline) || r.hasError(file) {
		return nil
	}
	switch {
	case doc.Secret != "" && doc.SecretFile != "":
		r.add(Clash, inline, "secretFile is given too; only one of the two is allowed")
		r.setExamples(len(r.fieldErrors)-1, *findField(keyFields, "secretFile"))
		return nil
	case doc.Secret != "":
		return r.decodeSecretField(inline, doc.Secret)
	case doc.SecretFile == "":
		r.add(MissingField, file, "secretFile or secret is required")
		r.setExamples(len(r.fieldErrors)-1, *findField(keyFields, "secretFile"))
		return nil
	}
	data, ok := r.readFile(file, r.resolvePath(doc.SecretFile))
	if !ok {
		return nil
	}
	return r.decodeSecretField(file, string(data))
}

func (r *fileReader) decodeSecretField(field, encoded string) []byte {
	secret, reason := decodeSecret(encoded)
	if reason != "" {
		r.add(BadSecret, field, "%s", reason)
	}
	return secret
}

// checkCertificate adds an error if the files don't hold a certificate and its private key.
func (r *fileReader) checkCertificate(tlsFiles TLSDoc) {
	if tlsFiles.CertificateFile == "" || tlsFiles.KeyFile == "" {
		return
	}
	certificate, certificateRead := r.readFile("tls.certificateFile", tlsFiles.CertificateFile)
	key, keyRead := r.readFile("tls.keyFile", tlsFiles.KeyFile)
	if !certificateRead || !keyRead {
		return
	}
	if _, err := tls.X509KeyPair(certificate, key); err != nil {
		r.add(BadCertificate, "tls", "%s", err)
	}
}
