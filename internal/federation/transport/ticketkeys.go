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

// minSecretBytes is the length of the shortest secret that is accepted.
const minSecretBytes = 16

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
		if key.ID == "" || err != nil || len(secret) < minSecretBytes {
			return fmt.Errorf("key %d (%q): id is missing or secret is no hexadecimal number of 16 bytes or more", i+1, key.ID)
		}
		if slices.ContainsFunc(k.Keys[:i], func(earlier TicketKey) bool { return earlier.ID == key.ID }) {
			return fmt.Errorf("key %q is there twice", key.ID)
		}
	}
	return nil
}

// sign computes the signature of all of a ticket but the signature.
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

// Sign is a ticket with the first key's signature.
func (k *TicketKeys) Sign(ticket federation.Ticket) (federation.Ticket, error) {
	ticket.KeyID = k.Keys[0].ID
	var err error
	ticket.MAC, err = sign(ticket, k.Keys[0])
	return ticket, err
}

// unknownKeyError refuses a ticket whose key is not in the file.
type unknownKeyError struct{ id string }

// Error names the key.
func (e unknownKeyError) Error() string {
	return fmt.Sprintf("ticket is signed with key %q, which is not known here", e.id)
}

// badSignatureError refuses a ticket that was not signed with the key it names.
type badSignatureError struct{ id string }

// Error names the key.
func (e badSignatureError) Error() string {
	return fmt.Sprintf("ticket's signature is not that of key %q", e.id)
}

// Verify tells what is wrong with a ticket's signature, or nil.
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
