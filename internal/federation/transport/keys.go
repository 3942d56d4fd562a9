package transport

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"pepperlever/internal/federation"
	"pepperlever/internal/strictconfig"
)

// TicketKey signs tickets between sites.
type TicketKey struct {
	ID string `toml:"id"`
	// Secret is at least 16 bytes, in hexadecimal.
	Secret string `toml:"secret"`
}

// TicketKeys is a file of keys: the first signs, all of them are accepted, so that
// a new one can be handed out before it is used and an old one kept until it is no
// longer.
type TicketKeys struct {
	Keys []TicketKey `toml:"keys"`
}

// Check tells what is wrong with the file.
func (k *TicketKeys) Check() error {
	if len(k.Keys) == 0 {
		return errors.New("keys is missing")
	}
	for i, key := range k.Keys {
		secret, err := hex.DecodeString(key.Secret)
		if key.ID == "" || err != nil || len(secret) < 16 {
			return fmt.Errorf("key %d (%q): id is missing or secret is no hexadecimal number of 16 bytes or more", i+1, key.ID)
		}
		if slices.ContainsFunc(k.Keys[:i], func(o TicketKey) bool { return o.ID == key.ID }) {
			return fmt.Errorf("key %q is there twice", key.ID)
		}
	}
	return nil
}

// mac signs all of a ticket but the signature.
func mac(t federation.Ticket, key TicketKey) ([]byte, error) {
	t.MAC = nil
	raw, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	secret, err := hex.DecodeString(key.Secret)
	if err != nil {
		return nil, err
	}
	h := hmac.New(sha256.New, secret)
	h.Write(raw)
	return h.Sum(nil), nil
}

// Sign is a ticket with the first key's signature.
func (k *TicketKeys) Sign(t federation.Ticket) (federation.Ticket, error) {
	t.KeyID = k.Keys[0].ID
	var err error
	t.MAC, err = mac(t, k.Keys[0])
	return t, err
}

// Verify tells what is wrong with a ticket's signature, or nil.
func (k *TicketKeys) Verify(t federation.Ticket) error {
	i := slices.IndexFunc(k.Keys, func(o TicketKey) bool { return o.ID == t.KeyID })
	if i < 0 {
		return fmt.Errorf("ticket is signed with key %q, which is not known here", t.KeyID)
	}
	want, err := mac(t, k.Keys[i])
	if err != nil || !hmac.Equal(want, t.MAC) {
		return fmt.Errorf("ticket's signature is not that of key %q", t.KeyID)
	}
	return nil
}

// secrets are all that proves who a site is.
type secrets struct {
	authority *x509.CertPool
	own       tls.Certificate
	tickets   TicketKeys
}

// loadSecrets reads the files, and refuses a certificate that no peer would take.
func loadSecrets(c *federation.Config) (*secrets, error) {
	s := &secrets{authority: x509.NewCertPool()}
	pem, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	if !s.authority.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authority: %s holds no certificate", c.Authority)
	}
	if s.own, err = tls.LoadX509KeyPair(c.Certificate, c.Key); err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	leaf, err := x509.ParseCertificate(s.own.Certificate[0])
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	if err := leaf.VerifyHostname(string(c.Site)); err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	if now := time.Now(); now.After(leaf.NotAfter) || now.Before(leaf.NotBefore) {
		return nil, fmt.Errorf("certificate: it is good from %s to %s only", leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: s.authority, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}); err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	return s, strictconfig.Load(c.TicketKeys, &s.tickets)
}

// stamp tells when any of the files last changed.
func stamp(c *federation.Config, path string) (out [5]time.Time) {
	for i, p := range []string{path, c.Authority, c.Certificate, c.Key, c.TicketKeys} {
		if info, err := os.Stat(p); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}
