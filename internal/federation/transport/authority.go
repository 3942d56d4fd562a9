package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"pepperlever/internal/strictconfig"
)

// Names of files that IssueCredentials writes.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority-key.pem"
	ticketKeysFile   = "tickets.toml"
)

// IssueCredentials writes to dir a certificate authority, a certificate and key for each site, and a
// file with a ticket key. The certificates of the sites are valid for the given duration. An
// existing authority and existing ticket keys are kept. If rotate is set, a new ticket key is put in
// front of the existing ones and signs from then on.
func IssueCredentials(dir string, sites []string, validity time.Duration, rotate bool) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	ca, err := loadOrCreateAuthority(dir)
	if err != nil {
		return err
	}
	for _, site := range sites {
		if err := issueCertificate(dir, site+".pem", site+"-key.pem", siteCertificate(site, validity), ca); err != nil {
			return err
		}
	}
	return writeTicketKeys(filepath.Join(dir, ticketKeysFile), rotate)
}

// clockSkew is how far the start of a certificate's validity is backdated, for sites whose
// clocks are behind.
const clockSkew = time.Hour

// siteCertificate returns the template of a site's certificate.
func siteCertificate(site string, validity time.Duration) *x509.Certificate {
	return &x509.Certificate{
		Subject:     pkix.Name{CommonName: site},
		DNSNames:    []string{site},
		NotBefore:   time.Now().Add(-clockSkew),
		NotAfter:    time.Now().Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// authorityYears is the validity of a certificate authority in years.
const authorityYears = 10

// authorityCertificate returns the template of the authority's certificate.
func authorityCertificate() *x509.Certificate {
	return &x509.Certificate{
		Subject:               pkix.Name{CommonName: "pepperlever test authority"},
		NotBefore:             time.Now().Add(-clockSkew),
		NotAfter:              time.Now().AddDate(authorityYears, 0, 0),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
}

// loadOrCreateAuthority reads the certificate authority in dir, or creates it if it is missing.
func loadOrCreateAuthority(dir string) (*tls.Certificate, error) {
	certFile, keyFile := filepath.Join(dir, authorityFile), filepath.Join(dir, authorityKeyFile)
	if _, err := os.Stat(certFile); errors.Is(err, fs.ErrNotExist) {
		if err := issueCertificate(dir, authorityFile, authorityKeyFile, authorityCertificate(), nil); err != nil {
			return nil, err
		}
	}
	ca, err := tls.LoadX509KeyPair(certFile, keyFile)
	return &ca, err
}

// serialBits is the length of a certificate's random serial number in bits.
const serialBits = 120

// issueCertificate writes a new key and its certificate. The certificate is signed by ca, or
// self-signed if ca is nil.
func issueCertificate(dir, certName, keyName string, cert *x509.Certificate, ca *tls.Certificate) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	if cert.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)); err != nil {
		return err
	}
	parent, signer := cert, any(key)
	if ca != nil {
		if parent, err = x509.ParseCertificate(ca.Certificate[0]); err != nil {
			return err
		}
		signer = ca.PrivateKey
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, parent, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, keyName), "PRIVATE KEY", raw); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, certName), "CERTIFICATE", der)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}

// writeTicketKeys creates the file of ticket keys. If the file exists, it is left unchanged, or
// gets a new key in front if rotate is set.
func writeTicketKeys(path string, rotate bool) error {
	var keys TicketKeys
	err := strictconfig.Load(path, &keys)
	missing := errors.Is(err, fs.ErrNotExist)
	if err != nil && !missing || err == nil && !rotate {
		return err
	}
	key, err := newTicketKey()
	if err != nil {
		return err
	}
	keys.Keys = append([]TicketKey{key}, keys.Keys...)
	raw, err := toml.Marshal(keys)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// Lengths of the random parts of a new ticket key in bytes.
const (
	secretBytes = 32
	keyIDBytes  = 4
)

// newTicketKey generates a ticket key. Its ID starts with the current date.
func newTicketKey() (TicketKey, error) {
	secret := make([]byte, secretBytes)
	id := make([]byte, keyIDBytes)
	for _, buffer := range [][]byte{secret, id} {
		if _, err := rand.Read(buffer); err != nil {
			return TicketKey{}, err
		}
	}
	return TicketKey{
		ID:     time.Now().UTC().Format("2006-01-02-") + hex.EncodeToString(id),
		Secret: hex.EncodeToString(secret),
	}, nil
}
