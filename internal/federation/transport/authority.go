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

// Names of the files that Issue writes.
const (
	authorityFile = "authority.pem"
	authorityKey  = "authority-key.pem"
	ticketsFile   = "tickets.toml"
)

// Issue writes an authority, a certificate and key for each site that is good for
// validity, and a ticket key into dir. What is there of the authority and of ticket
// keys is kept; roll adds a ticket key in front, which signs from then on.
func Issue(dir string, sites []string, validity time.Duration, roll bool) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	ca, err := authority(dir)
	if err != nil {
		return err
	}
	for _, site := range sites {
		if err := issue(dir, site+".pem", site+"-key.pem", siteCertificate(site, validity), ca); err != nil {
			return err
		}
	}
	return ticketKeys(filepath.Join(dir, ticketsFile), roll)
}

// clockSkew is by how much certificates are valid from before they are issued.
const clockSkew = time.Hour

// siteCertificate is the template of a site's certificate.
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

// authorityYears is for how many years an authority is valid.
const authorityYears = 10

// authorityCertificate is the template of an authority's certificate.
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

// authority reads the authority of dir, or makes one.
func authority(dir string) (*tls.Certificate, error) {
	certFile, keyFile := filepath.Join(dir, authorityFile), filepath.Join(dir, authorityKey)
	if _, err := os.Stat(certFile); errors.Is(err, fs.ErrNotExist) {
		if err := issue(dir, authorityFile, authorityKey, authorityCertificate(), nil); err != nil {
			return nil, err
		}
	}
	ca, err := tls.LoadX509KeyPair(certFile, keyFile)
	return &ca, err
}

// serialBits is the length of certificates' random serial numbers.
const serialBits = 120

// issue writes a certificate, signed by ca or by itself, and its key.
func issue(dir, certName, keyName string, cert *x509.Certificate, ca *tls.Certificate) error {
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

// ticketKeys makes a file of ticket keys, or puts a new one in front.
func ticketKeys(path string, roll bool) error {
	var keys TicketKeys
	err := strictconfig.Load(path, &keys)
	missing := errors.Is(err, fs.ErrNotExist)
	if err != nil && !missing || err == nil && !roll {
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

// Lengths of a new ticket key's random parts, in bytes.
const (
	secretBytes = 32
	keyIDBytes  = 4
)

// newTicketKey makes a key whose ID begins with the date.
func newTicketKey() (TicketKey, error) {
	secret := make([]byte, secretBytes)
	id := make([]byte, keyIDBytes)
	for _, random := range [][]byte{secret, id} {
		if _, err := rand.Read(random); err != nil {
			return TicketKey{}, err
		}
	}
	return TicketKey{
		ID:     time.Now().UTC().Format("2006-01-02-") + hex.EncodeToString(id),
		Secret: hex.EncodeToString(secret),
	}, nil
}
