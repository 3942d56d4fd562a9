package transport

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"pepperlever/internal/federation"
)

// minSecretBytes is the minimum length of a secret in bytes.
const minSecretBytes = 16

// TicketKey is a shared key that signs tickets between sites.
type TicketKey struct {
	ID string `toml:"id"`
	// Secret is the key in hexadecimal, at least 16 bytes long.
	Secret string `toml:"secret"`
}

// TicketKeys is the content of a key file. The first key signs and all keys verify, so that keys
// can be rotated: a new key is distributed before it signs, and an old one stays until no ticket
// is signed with it.
type TicketKeys struct {
	Keys []TicketKey `toml:"keys"`
}

// Check validates the keys.
func (k *TicketKeys) Check() error {
	if len(k.Keys) == 0 {
		return errors.New("keys is missing")
	}
	for i, key := range k.Keys {
		secret, err := hex.DecodeString(key.Secret)
		if key.ID == "" || err != nil || len(secret) < minSecretBytes {
			return fmt.Errorf("key %d (%q): id is missing or secret is not at least 16 bytes in hexadecimal", i+1, key.ID)
		}
		if slices.ContainsFunc(k.Keys[:i], func(earlier TicketKey) bool { return earlier.ID == key.ID }) {
			return fmt.Errorf("duplicate key %q", key.ID)
		}
	}
	return nil
}

// sign computes the MAC of a ticket over all fields but the MAC itself.
func sign(ticket federation.Ticket, key TicketKey) ([]byte, error) {
	ticket.MAC = nil
	raw, err := json.Marshal(ticket)
	if err != nil {
		return nil, err
	}
	secret, err := hex.DecodeString(key.Secret)
	if err != nil {
		return nil, err
	}
	signature := hmac.New(sha256.New, secret)
	signature.Write(raw)
	return signature.Sum(nil), nil
}

// Sign returns the ticket with the ID and the signature of the first key.
func (k *TicketKeys) Sign(ticket federation.Ticket) (federation.Ticket, error) {
	ticket.KeyID = k.Keys[0].ID
	var err error
	ticket.MAC, err = sign(ticket, k.Keys[0])
	return ticket, err
}

// unknownKeyError reports a ticket that was signed with a key that is not in the file.
type unknownKeyError struct{ id string }

// Error returns a message that names the key.
func (e unknownKeyError) Error() string {
	return fmt.Sprintf("ticket is signed with unknown key %q", e.id)
}

// badSignatureError reports a ticket whose signature does not match the key that it names.
type badSignatureError struct{ id string }

// Error returns a message that names the key.
func (e badSignatureError) Error() string {
	return fmt.Sprintf("ticket signature does not match key %q", e.id)
}

// Verify checks the signature of a ticket.
func (k *TicketKeys) Verify(ticket federation.Ticket) error {
	i := slices.IndexFunc(k.Keys, func(key TicketKey) bool { return key.ID == ticket.KeyID })
	if i < 0 {
		return unknownKeyError{ticket.KeyID}
	}
	want, err := sign(ticket, k.Keys[i])
	if err != nil || !hmac.Equal(want, ticket.MAC) {
		return badSignatureError{ticket.KeyID}
	}
	return nil
}
