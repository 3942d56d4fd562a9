package transport

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"pepperlever/internal/federation"
	"pepperlever/internal/strictconfig"
)

// secrets are all that proves who a site is.
type secrets struct {
	authority *x509.CertPool
	own       tls.Certificate
	tickets   TicketKeys
}

// loadSecrets reads the files, and refuses a certificate that no peer would accept.
func loadSecrets(cfg *federation.Config) (*secrets, error) {
	s := &secrets{authority: x509.NewCertPool()}
	pem, err := os.ReadFile(cfg.Authority)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	if !s.authority.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authority: %s holds no certificate", cfg.Authority)
	}
	if s.own, err = tls.LoadX509KeyPair(cfg.Certificate, cfg.Key); err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	if err := s.checkCertificate(cfg.Site); err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	return s, strictconfig.Load(cfg.TicketKeys, &s.tickets)
}

// validityError tells that a certificate is not valid now.
type validityError struct{ notBefore, notAfter time.Time }

// Error tells when the certificate is valid.
func (e validityError) Error() string {
	return fmt.Sprintf("it is good from %s to %s only", e.notBefore.Format(time.RFC3339), e.notAfter.Format(time.RFC3339))
}

// checkCertificate tells why peers would not accept the certificate as that of a site.
func (s *secrets) checkCertificate(site federation.Site) error {
	leaf, err := x509.ParseCertificate(s.own.Certificate[0])
	if err != nil {
		return err
	}
	if err := leaf.VerifyHostname(string(site)); err != nil {
		return err
	}
	if now := time.Now(); now.After(leaf.NotAfter) || now.Before(leaf.NotBefore) {
		return validityError{leaf.NotBefore, leaf.NotAfter}
	}
	_, err = leaf.Verify(x509.VerifyOptions{
		Roots:     s.authority,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
