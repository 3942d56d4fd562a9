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

// secrets holds the keys and certificates with which sites authenticate each other.
type secrets struct {
	authority   *x509.CertPool
	certificate tls.Certificate
	tickets     TicketKeys
}

// loadSecrets loads the files that the configuration names. It returns an error if peers would
// reject the certificate.
func loadSecrets(cfg *federation.Config) (*secrets, error) {
	s := &secrets{authority: x509.NewCertPool()}
	pem, err := os.ReadFile(cfg.Authority)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	if !s.authority.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authority: %s contains no certificate", cfg.Authority)
	}
	if s.certificate, err = tls.LoadX509KeyPair(cfg.Certificate, cfg.Key); err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	if err := s.checkCertificate(cfg.Site); err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	return s, strictconfig.Load(cfg.TicketKeys, &s.tickets)
}

// validityError reports that a certificate has expired or is not valid yet.
type validityError struct{ notBefore, notAfter time.Time }

// Error returns a message with the period of validity.
func (e validityError) Error() string {
	return fmt.Sprintf("valid only from %s to %s", e.notBefore.Format(time.RFC3339), e.notAfter.Format(time.RFC3339))
}

// checkCertificate returns an error if peers would not accept the certificate as that of the site.
func (s *secrets) checkCertificate(site federation.Site) error {
	leaf, err := x509.ParseCertificate(s.certificate.Certificate[0])
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
