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
		cert := &x509.Certificate{Subject: pkix.Name{CommonName: site}, DNSNames: []string{site},
			NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
			KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
		if err := issue(dir, site+".pem", site+"-key.pem", cert, ca); err != nil {
			return err
		}
	}
	return ticketKeys(filepath.Join(dir, ticketsFile), roll)
}

// authority reads the authority of dir, or makes one.
func authority(dir string) (*tls.Certificate, error) {
	certFile, keyFile := filepath.Join(dir, authorityFile), filepath.Join(dir, authorityKey)
	if _, err := os.Stat(certFile); errors.Is(err, fs.ErrNotExist) {
		cert := &x509.Certificate{Subject: pkix.Name{CommonName: "pepperlever test authority"},
			NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().AddDate(10, 0, 0),
			IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
		if err := issue(dir, authorityFile, authorityKey, cert, nil); err != nil {
			return nil, err
		}
	}
	ca, err := tls.LoadX509KeyPair(certFile, keyFile)
	return &ca, err
}

// issue writes a certificate, signed by ca or by itself, and its key.
func issue(dir, certName, keyName string, cert *x509.Certificate, ca *tls.Certificate) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	if cert.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)); err != nil {
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
	fresh := errors.Is(err, fs.ErrNotExist)
	if err != nil && !fresh || err == nil && !roll {
		return err
	}
	secret := make([]byte, 32)
	name := make([]byte, 4)
	for _, b := range [][]byte{secret, name} {
		if _, err := rand.Read(b); err != nil {
			return err
		}
	}
	keys.Keys = append([]TicketKey{{ID: time.Now().UTC().Format("2006-01-02-") + hex.EncodeToString(name), Secret: hex.EncodeToString(secret)}}, keys.Keys...)
	raw, err := toml.Marshal(keys)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}
