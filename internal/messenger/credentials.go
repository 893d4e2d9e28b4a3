package messenger

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// CredentialsError reports that links can't be secured.
type CredentialsError struct {
	text  string
	cause error
}

// Unwrap returns the cause, or nil.
func (credentialsError *CredentialsError) Unwrap() error { return credentialsError.cause }

// Error names the cause and the remedy.
func (credentialsError *CredentialsError) Error() string {
	text := "peer credentials: " + credentialsError.text + "; set key, certificate and authority files of this host"
	if credentialsError.cause != nil {
		text += ": " + credentialsError.cause.Error()
	}
	return text
}

// Credentials holds the key, the certificate and the certificate authority that
// links use. Changed files are reloaded at the next handshake; while they are
// invalid, the previous contents stay in use.
type Credentials struct {
	key, certificate, authority string
	// mu guards the fields below.
	mu   sync.Mutex
	pair tls.Certificate
	pool *x509.CertPool
	// modTimes holds the modification times of the loaded files.
	modTimes [3]time.Time
	// failure is the error of the last reload, or nil.
	failure error
	// update describes the last reload until takeUpdate clears it.
	update string
}

// NewCredentials reads the three PEM files.
func NewCredentials(key, certificate, authority string) (*Credentials, error) {
	credentials := &Credentials{key: key, certificate: certificate, authority: authority}
	return credentials, credentials.load(credentials.stat())
}

// Failure returns the error of the last reload, or nil.
func (credentials *Credentials) Failure() error {
	credentials.mu.Lock()
	defer credentials.mu.Unlock()
	return credentials.failure
}

// stat returns the modification times of the files.
func (credentials *Credentials) stat() (modTimes [3]time.Time) {
	for index, path := range []string{credentials.key, credentials.certificate, credentials.authority} {
		if info, err := os.Stat(path); err == nil {
			modTimes[index] = info.ModTime()
		}
	}
	return modTimes
}

// load reads the files, which have the given modification times.
func (credentials *Credentials) load(modTimes [3]time.Time) error {
	pair, err := tls.LoadX509KeyPair(credentials.certificate, credentials.key)
	if err != nil {
		return &CredentialsError{text: "key and certificate can't be used", cause: err}
	}
	bytes, err := os.ReadFile(credentials.authority)
	if err != nil {
		return &CredentialsError{text: "the authority can't be read", cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(bytes) {
		return &CredentialsError{text: "the authority file holds no certificate"}
	}
	credentials.pair, credentials.pool, credentials.modTimes = pair, pool, modTimes
	return nil
}

// config returns the TLS settings of one handshake, after a reload of changed
// files.
func (credentials *Credentials) config() *tls.Config {
	credentials.mu.Lock()
	defer credentials.mu.Unlock()
	if modTimes := credentials.stat(); modTimes != credentials.modTimes {
		credentials.reload(modTimes)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{credentials.pair},
		RootCAs:      credentials.pool,
		ClientCAs:    credentials.pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

// reload reads the changed files. The caller holds mu.
func (credentials *Credentials) reload(modTimes [3]time.Time) {
	failure := credentials.load(modTimes)
	switch {
	case failure == nil:
		credentials.update = "key, certificate and authority were read again"
	case credentials.failure == nil:
		credentials.update = "changed files can't be used, the old ones stay in use: " + failure.Error()
	}
	credentials.failure = failure
}

// takeUpdate returns and clears the description of the last reload, or "".
func (credentials *Credentials) takeUpdate() string {
	credentials.mu.Lock()
	defer credentials.mu.Unlock()
	update := credentials.update
	credentials.update = ""
	return update
}

// clientHandshake runs the TLS handshake on a connection to the host called name, and
// verifies that name.
func (credentials *Credentials) clientHandshake(ctx context.Context, conn net.Conn, name string) (net.Conn, error) {
	config := credentials.config()
	config.ServerName = name
	secured := tls.Client(conn, config)
	return secured, secured.HandshakeContext(ctx)
}

// serverHandshake runs the TLS handshake on an accepted connection.
func (credentials *Credentials) serverHandshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	secured := tls.Server(conn, credentials.config())
	return secured, secured.HandshakeContext(ctx)
}

var errNoCertificate = errors.New("the peer showed no certificate")

// peerCertificate returns the certificate that the peer presented, or nil.
func peerCertificate(conn net.Conn) *x509.Certificate {
	secured, ok := conn.(*tls.Conn)
	if !ok || len(secured.ConnectionState().PeerCertificates) == 0 {
		return nil
	}
	return secured.ConnectionState().PeerCertificates[0]
}

// verifyName checks that the peer's certificate is for the host called name.
func verifyName(conn net.Conn, name string) error {
	certificate := peerCertificate(conn)
	if certificate == nil {
		return &CredentialsError{text: "a stranger", cause: errNoCertificate}
	}
	if err := certificate.VerifyHostname(name); err != nil {
		return fmt.Errorf("a name that its certificate does not bear: %w", err)
	}
	return nil
}
