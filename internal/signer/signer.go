// Package signer signs operators' requests with Ed25519 keys and verifies the
// signatures. Package commander signs, and package administrator verifies. Its only
// I/O is reading and writing key files; it does not read the clock.
package signer

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base32"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"
)

// Scheme is the HTTP authorization scheme of a signed GET.
const Scheme = "Chivespool"

// Request is an operator's signed request.
type Request struct {
	Operator string `json:"operator"`
	Command  string `json:"command"`
	// ID is unique for each request. A repeated request keeps its ID and Time.
	ID   string    `json:"id"`
	Time time.Time `json:"time"`
	// Signature covers all other fields.
	Signature []byte `json:"signature"`
}

// Sign returns the request with a signature by private.
func (request Request) Sign(private ed25519.PrivateKey) Request {
	request.Signature = ed25519.Sign(private, request.signedText())
	return request
}

// Verify reports whether the signature was made with public's private key.
func (request Request) Verify(public ed25519.PublicKey) bool {
	if len(public) != ed25519.PublicKeySize {
		return false
	}
	return ed25519.Verify(public, request.signedText(), request.Signature)
}

// signedText returns the text that the signature covers. The command comes last
// because only it may contain newlines.
func (request Request) signedText() []byte {
	fields := []string{
		"chivespool request 1",
		fmt.Sprintf("%q", request.Operator),
		fmt.Sprintf("%q", request.ID),
		request.Time.UTC().Format(time.RFC3339Nano),
		request.Command,
	}
	return []byte(strings.Join(fields, "\n"))
}

// Authorization returns the value of the Authorization header of a signed GET,
// whose command is the method and the request's URI.
func (request Request) Authorization() (string, error) {
	data, err := json.Marshal(request)
	if err != nil {
		return "", fmt.Errorf("encode the request: %w", err)
	}
	return Scheme + " " + base64.RawURLEncoding.EncodeToString(data), nil
}

// ParseAuthorization parses a value returned by [Request.Authorization].
func ParseAuthorization(header string) (Request, error) {
	var request Request
	encoded, ok := strings.CutPrefix(header, Scheme+" ")
	if !ok {
		return request, fmt.Errorf("the Authorization header is not of the scheme %s; sign the request", Scheme)
	}
	data, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return request, fmt.Errorf("decode the Authorization header; sign the request anew: %w", err)
	}
	if err := json.Unmarshal(data, &request); err != nil {
		return request, fmt.Errorf("decode the Authorization header; sign the request anew: %w", err)
	}
	return request, nil
}

// NewID returns an id of 80 random bits in lower-case letters and digits.
func NewID() string {
	var bits [10]byte
	// crypto/rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(bits[:])
	return strings.ToLower(base32.StdEncoding.EncodeToString(bits[:]))
}

// keyFileMode makes a private key readable only by its owner.
const keyFileMode = 0o600

// WriteKey generates a key pair, writes the private key to the new file path, and
// returns the public key in base64.
func WriteKey(path string) (string, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", fmt.Errorf("generate a key: %w", err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return "", fmt.Errorf("write the key; name a file that doesn't exist yet: %w", err)
	}
	if _, err := fmt.Fprintln(file, base64.StdEncoding.EncodeToString(private.Seed())); err != nil {
		_ = file.Close()
		return "", fmt.Errorf("write the key: %w", err)
	}
	if err := file.Close(); err != nil {
		return "", fmt.Errorf("write the key: %w", err)
	}
	return FormatPublicKey(public), nil
}

// ReadKey reads a private key that WriteKey wrote.
func ReadKey(path string) (ed25519.PrivateKey, error) {
	if path == "" {
		return nil, fmt.Errorf("there is no key; give --key FILE, or make one with chivesctl keygen")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the key; make one with chivesctl keygen: %w", err)
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("%s is not a private key file; make one with chivesctl keygen", path)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// FormatPublicKey returns a public key in the form used in settings and statements.
func FormatPublicKey(key ed25519.PublicKey) string { return base64.StdEncoding.EncodeToString(key) }

// ParsePublicKey parses a public key returned by [FormatPublicKey].
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	public, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(public) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("%q is not a public key; make one with chivesctl keygen", text)
	}
	return public, nil
}
