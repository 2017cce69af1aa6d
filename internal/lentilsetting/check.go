package lentilsetting

import (
	"encoding/base64"
	"encoding/json"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
)

const (
	// minSecretBytes is the minimum length of a shared secret.
	minSecretBytes = 16
	// maxKeyID is the highest allowed ID of a shared secret.
	maxKeyID = 255
	// maxDuration is the longest allowed duration, such as that of a graceful stop or a drain.
	maxDuration = 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// stringValue returns the value as a string, or adds an error if it has another type.
func stringValue(c *errorCollector, path string, value any) (s string, ok bool) {
	s, ok = value.(string)
	if !ok {
		c.add(WrongType, path, "expected a string, got %s", typeName(value))
	}
	return s, ok
}

func checkName(c *errorCollector, path string, value any) {
	if s, ok := stringValue(c, path, value); ok && !namePattern.MatchString(s) {
		c.add(BadName, path, "%q is not 1 to 63 lower-case letters, digits and inner hyphens", s)
	}
}

func checkIP(c *errorCollector, path string, value any) {
	s, ok := stringValue(c, path, value)
	if !ok {
		return
	}
	if _, err := netip.ParseAddr(s); err != nil {
		c.add(BadAddress, path, "%q is not an IP address without a port", s)
	}
}

func checkAddress(c *errorCollector, path string, value any) {
	s, ok := stringValue(c, path, value)
	if !ok {
		return
	}
	address, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		c.add(BadAddress, path, "%q is not an IP address with a port", s)
	case address.Port() == 0:
		c.add(BadAddress, path, "the port of %q is 0; other processes need the actual port", s)
	}
}

// checkReachableAddress checks an address at which other processes reach this one.
func checkReachableAddress(c *errorCollector, path string, value any) {
	before := len(c.fieldErrors)
	checkAddress(c, path, value)
	if len(c.fieldErrors) > before {
		return
	}
	if address := netip.MustParseAddrPort(value.(string)); address.Addr().IsUnspecified() {
		c.add(BadAddress, path, "%q stands for all addresses of the VM; other processes need a specific address", value)
	}
}

// checkIPv4Address checks a reachable address that must be an IPv4 address.
func checkIPv4Address(c *errorCollector, path string, value any) {
	before := len(c.fieldErrors)
	checkReachableAddress(c, path, value)
	if len(c.fieldErrors) > before {
		return
	}
	if address := netip.MustParseAddrPort(value.(string)); !address.Addr().Is4() {
		c.add(NotIPv4, path, "%q is not an IPv4 address", value)
	}
}

func checkURL(c *errorCollector, path string, value any) {
	s, ok := stringValue(c, path, value)
	if !ok {
		return
	}
	u, err := url.Parse(s)
	switch {
	case err != nil, u.Scheme != "http" && u.Scheme != "https", u.Host == "":
		// The message omits the value, because it may contain a password.
		c.add(BadURL, path, "the value is not an absolute http or https URL")
	case u.User != nil || u.RawQuery != "" || u.Fragment != "":
		c.add(BadURL, path, "the URL must not contain a user, query or fragment")
	}
}

func checkDuration(c *errorCollector, path string, value any) {
	s, ok := stringValue(c, path, value)
	if !ok {
		return
	}
	d, err := time.ParseDuration(s)
	switch {
	case err != nil:
		c.add(BadDuration, path, "%q is not a number with a unit", s)
	case d < 0 || d > maxDuration:
		c.add(OutOfRange, path, "%s is not between 0s and %s", s, maxDuration)
	}
}

// The allowed values of handOff.
const (
	handOffOn  = "on"
	handOffOff = "off"
)

var checkHandOff = checkOneOf(handOffOn, handOffOff)

// checkOneOf returns a check for a string that must have one of two values.
func checkOneOf(first, second string) func(c *errorCollector, path string, value any) {
	return func(c *errorCollector, path string, value any) {
		s, ok := stringValue(c, path, value)
		if ok && s != first && s != second {
			c.add(NotAllowed, path, "%q is neither %s nor %s", s, first, second)
		}
	}
}

func checkLevel(c *errorCollector, path string, value any) {
	s, ok := stringValue(c, path, value)
	if !ok {
		return
	}
	if _, ok := lentilevent.ParseLevel(s); !ok {
		c.add(NotAllowed, path, "%q is not one of debug, info, warn and error", s)
	}
}

func checkFilePath(c *errorCollector, path string, value any) {
	if s, ok := stringValue(c, path, value); ok && s == "" {
		c.add(UnreadableFile, path, "the path is empty")
	}
}

func checkKeyID(c *errorCollector, path string, value any) {
	number, ok := value.(json.Number)
	if !ok {
		c.add(WrongType, path, "expected a number, got %s", typeName(value))
		return
	}
	id, err := number.Int64()
	if err != nil || id < 0 || id > maxKeyID {
		c.add(OutOfRange, path, "%s is not a whole number between 0 and %d", number, maxKeyID)
	}
}

func checkSecret(c *errorCollector, path string, value any) {
	s, ok := stringValue(c, path, value)
	if !ok {
		return
	}
	if _, reason := decodeSecret(s); reason != "" {
		c.add(BadSecret, path, "%s", reason)
	}
}

// decodeSecret decodes a secret in base64. If it is invalid, the reason says why,
// without the secret itself.
func decodeSecret(encoded string) (secret []byte, reason string) {
	secret, err := base64.StdEncoding.DecodeString(strings.TrimSpace(encoded))
	switch {
	case err != nil:
		return nil, "the secret is not in base64"
	case len(secret) < minSecretBytes:
		return nil, "the secret has fewer than 16 bytes"
	}
	return secret, ""
}
