package messenger

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/encoder"
	"github.com/chivespool/chivespool/internal/recorder"
	"google.golang.org/protobuf/proto"
)

// sendRaw connects to host, sends data outside the protocol, and returns the Hello
// that host replies.
func sendRaw(t *testing.T, network *pipes, host *testHost, send func(conn net.Conn)) *encoder.Hello {
	t.Helper()
	conn, err := network.Dial(t.Context(), host.host.PeerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	send(conn)
	hello := new(encoder.Hello)
	readFrame(conn, hello, maxHelloFrameBytes)
	synctest.Wait()
	return hello
}

func TestInvalidHelloIsRefusedWithReason(t *testing.T) {
	good := &encoder.Hello{Version: encoder.PeerVersion, Fleet: "tausi", Host: "left", Incarnation: 1}
	tests := []struct {
		name, part string
		change     func(hello *encoder.Hello)
	}{
		{"old version", "too old", func(hello *encoder.Hello) { hello.Version = 0 }},
		{"other fleet", "fleet", func(hello *encoder.Hello) { hello.Fleet = "hymnbrew" }},
		{"no name", "host name", func(hello *encoder.Hello) { hello.Host = "" }},
		{"own name", "name of this host", func(hello *encoder.Hello) { hello.Host = "right" }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				var network pipes
				right := newTestHost(&network, "right", 1).start(t)
				hello := proto.CloneOf(good)
				test.change(hello)
				answer := sendRaw(t, &network, right, func(conn net.Conn) { writeFrame(conn, hello, maxHelloFrameBytes) })
				if !strings.Contains(answer.GetRefusal(), test.part) {
					t.Errorf("refusal %q, want one with %q", answer.GetRefusal(), test.part)
				}
				right.wantEvent(t, "127.0.0.1:1", test.part)
				right.stop()
			})
		})
	}
}

func TestInvalidInputIsRefusedAndServiceContinues(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := newTestHost(&network, "left", 1), newTestHost(&network, "right", 1)
		left.start(t, right)
		right.start(t, left)
		sendRaw(t, &network, right, func(conn net.Conn) { conn.Write([]byte("GET / HTTP/1.1\r\n\r\n")) })
		right.wantEvent(t, "127.0.0.1:1", "not a message")
		sendRaw(t, &network, right, func(net.Conn) {})
		right.wantEvent(t, "127.0.0.1:1", "no greeting")
		before := len(right.timeline.Events(recorder.Stamp{}))
		for range 200 {
			sendRaw(t, &network, right, func(conn net.Conn) { conn.Write([]byte("garbage!")) })
		}
		if recorded := len(right.timeline.Events(recorder.Stamp{})) - before; recorded > 2*maxRefusals {
			t.Errorf("200 refused connections recorded %d events, want at most 2*maxRefusals", recorded)
		}
		if got, err := left.echo(t.Context(), "right", "ledger", 0); got != "ledger" || err != nil {
			t.Fatalf("after the refused connections: %q, %v", got, err)
		}
		left.stop()
		right.stop()
	})
}

func TestInvalidFrameEndsTheLink(t *testing.T) {
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := newTestHost(&network, "left", 1), newTestHost(&network, "right", 1)
		left.start(t, right)
		right.start(t, left)
		left.echo(t.Context(), "right", "ledger", 0)
		peer, runCtx := left.peerNamed("right")
		link, err := peer.link(t.Context(), runCtx)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := link.open()
		if err != nil {
			t.Fatal(err)
		}
		conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3})
		synctest.Wait()
		right.wantEvent(t, "left", "a length of")
		if got, err := left.echo(t.Context(), "right", "ledger", 0); got != "ledger" || err != nil {
			t.Fatalf("over a new link: %q, %v", got, err)
		}
		left.stop()
		right.stop()
	})
}

func TestUnencryptedLinksOnlyOnLoopback(t *testing.T) {
	testHost := newTestHost(new(pipes), "left", 1)
	testHost.SetSelf(definer.NewHost("left", "192.0.2.1:1", "192.0.2.1:2", definer.Place{}, 1))
	err := testHost.Run(t.Context())
	if err == nil || !strings.Contains(err.Error(), "only for loopback") {
		t.Fatalf("got %v", err)
	}
}

// authority is a certificate authority for tests.
type authority struct {
	folder      string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	authority := &authority{folder: t.TempDir(), key: key}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
	}
	bytes, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	authority.certificate, _ = x509.ParseCertificate(bytes)
	authority.write(t, "authority.pem", "CERTIFICATE", bytes)
	return authority
}

// issue writes a key and a certificate for name; at is the modification time of
// the files and the certificate's serial number.
func (authority *authority) issue(t *testing.T, file, name string, at time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(at.Unix()), DNSNames: []string{name},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	bytes, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, key.Public(), authority.key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	authority.write(t, file+".pem", "CERTIFICATE", bytes)
	authority.write(t, file+".key", "PRIVATE KEY", encoded)
	for _, ending := range []string{".pem", ".key"} {
		os.Chtimes(filepath.Join(authority.folder, file+ending), at, at)
	}
}

func (authority *authority) write(t *testing.T, file, kind string, bytes []byte) {
	t.Helper()
	encoded := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes})
	if err := os.WriteFile(filepath.Join(authority.folder, file), encoded, 0o600); err != nil {
		t.Fatal(err)
	}
}

func (authority *authority) credentials(t *testing.T, file string) *Credentials {
	t.Helper()
	path := func(name string) string { return filepath.Join(authority.folder, name) }
	credentials, err := NewCredentials(path(file+".key"), path(file+".pem"), path("authority.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return credentials
}

// untrustedCredentials returns a certificate that theirs issued and trusts ours as
// the authority, so that only the accepting side can refuse the connection.
func untrustedCredentials(t *testing.T, ours, theirs *authority) *Credentials {
	t.Helper()
	credentials, err := NewCredentials(filepath.Join(theirs.folder, "left.key"),
		filepath.Join(theirs.folder, "left.pem"), filepath.Join(ours.folder, "authority.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return credentials
}

func TestHostsNeedTheirOwnCertificate(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	dated := time.Unix(1000, 0)
	ours.issue(t, "left", "left", dated)
	ours.issue(t, "right", "right", dated)
	ours.issue(t, "other", "other", dated)
	theirs.issue(t, "left", "left", dated)
	tests := []struct {
		name        string
		credentials func() *Credentials
		part        string
	}{
		{"own name", func() *Credentials { return ours.credentials(t, "left") }, ""},
		{"another host's certificate", func() *Credentials { return ours.credentials(t, "other") }, "does not bear"},
		{"another authority", func() *Credentials { return theirs.credentials(t, "left") }, "a stranger"},
		{"another authority's certificate", func() *Credentials { return untrustedCredentials(t, ours, theirs) }, "a stranger"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				var network pipes
				left, right := newTestHost(&network, "left", 1), newTestHost(&network, "right", 1)
				left.SetCredentials(test.credentials())
				right.SetCredentials(ours.credentials(t, "right"))
				left.start(t, right)
				right.start(t, left)
				_, err := left.echo(t.Context(), "right", "ledger", 0)
				if (err == nil) != (test.part == "") {
					t.Errorf("got %v", err)
				}
				if test.part != "" {
					time.Sleep(time.Second)
					right.wantEvent(t, "127.0.0.1:1", test.part)
				}
				left.stop()
				right.stop()
			})
		})
	}
}

func TestChangedCredentialsAreReloaded(t *testing.T) {
	authority := newAuthority(t)
	for _, name := range []string{"left", "right"} {
		authority.issue(t, name, name, time.Unix(1000, 0))
	}
	bubble(t, func(t *testing.T) {
		var network pipes
		left, right := newTestHost(&network, "left", 1), newTestHost(&network, "right", 1)
		left.SetCredentials(authority.credentials(t, "left"))
		right.SetCredentials(authority.credentials(t, "right"))
		left.start(t, right)
		right.start(t, left)
		serial := func() int64 { return serialSeen(t, left) }
		if got := serial(); got != 1000 {
			t.Errorf("first certificate is %d", got)
		}
		authority.issue(t, "right", "right", time.Unix(2000, 0))
		if got := serial(); got != 2000 {
			t.Errorf("certificate after the change is %d", got)
		}
		os.WriteFile(filepath.Join(authority.folder, "right.pem"), []byte("broken"), 0o600)
		if got := serial(); got != 2000 {
			t.Errorf("certificate after a broken change is %d", got)
		}
		if right.snapshot().credentials.Failure() == nil {
			t.Error("Failure does not report the broken files")
		}
		right.wantEvent(t, "credentials", "old ones stay")
		left.stop()
		right.stop()
	})
}

// serialSeen returns the serial number of the certificate that right presents.
func serialSeen(t *testing.T, left *testHost) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	conn, _, err := left.dial(ctx, definer.NewHost("right", "", "127.0.0.1:right", definer.Place{}, 1))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return peerCertificate(conn).SerialNumber.Int64()
}
