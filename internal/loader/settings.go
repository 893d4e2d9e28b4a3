package loader

import (
	"crypto/ed25519"
	"fmt"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Settings are the checked settings of one process. See docs/SETTINGS.md for
// what each means.
type Settings struct {
	// given holds the values in the file, by "[section] key".
	given map[string]string

	name        string
	region      string
	dataCentre  string
	address     string
	peerAddress string
	// linkMegabits is the link's rate in megabits per second; 0 if it is unknown.
	linkMegabits float64

	store           string
	hostList        string
	platformTimeout time.Duration

	readyAddress     string
	directoryAddress string
	metricsAddress   string
	regions          map[string]string
	applyBound       time.Duration
	firstStart       bool
	retrySlack       int
	probeRate        float64
	plainPeers       string

	headerBytes       int
	headerTimeout     time.Duration
	idleTimeout       time.Duration
	bodyTimeout       time.Duration
	requestTimeout    time.Duration
	maxAttempts       int
	retryShare        float64
	queueLength       int
	longShare         float64
	connectTimeout    time.Duration
	answerHeaderBytes int

	policy            string
	offloading        string
	holdTime          time.Duration
	regionBytesPerSec int
	centreBytePrice   time.Duration
	regionBytePrice   time.Duration
	claimShards       int
	claimRetention    time.Duration
	maxClaims         int
	leaveTimeout      time.Duration
	peerCertificate   string
	peerKey           string
	peerAuthority     string
	bootstrapKey      ed25519.PublicKey
	logVerbosity      int
	peerSeeds         []definer.Host
}

// Differences returns the names of the settings whose values in the file differ
// from other's, in the order of the table.
func (settings *Settings) Differences(other *Settings) []string {
	var names []string
	for _, setting := range table {
		name := fmt.Sprintf("[%s] %s", setting.section, setting.key)
		if settings.given[name] != other.given[name] {
			names = append(names, name)
		}
	}
	return names
}

// megabit is a megabit in bits.
const megabit = 1e6

// Host returns the entry host that the settings describe, with incarnation.
func (settings *Settings) Host(incarnation uint64) definer.Host {
	host := definer.NewHost(settings.name, settings.address, settings.peerAddress, settings.Place(), incarnation)
	return host.WithLinkRate(uint64(settings.linkMegabits * megabit))
}

// Place returns the region and data centre of the host.
func (settings *Settings) Place() definer.Place {
	return definer.NewPlace(settings.region, settings.dataCentre)
}

// Name returns the host's name.
func (settings *Settings) Name() string { return settings.name }

// Address returns the address for callers and operators, as IP:port.
func (settings *Settings) Address() string { return settings.address }

// PeerAddress returns the address for other entry hosts, as IP:port.
func (settings *Settings) PeerAddress() string { return settings.peerAddress }

// Store returns the base URL of the platform's store.
func (settings *Settings) Store() string { return settings.store }

// HostList returns the base URL of the platform's host list.
func (settings *Settings) HostList() string { return settings.hostList }

// PlatformTimeout bounds the time until a reply of the platform begins, and each pause
// in it.
func (settings *Settings) PlatformTimeout() time.Duration { return settings.platformTimeout }

// ReadyAddress returns the address of a gateway's readiness check for the
// platform, as IP:port, or empty.
func (settings *Settings) ReadyAddress() string { return settings.readyAddress }

// DirectoryAddress returns the address where callers ask a gateway which
// addresses to use, as IP:port, or empty.
func (settings *Settings) DirectoryAddress() string { return settings.directoryAddress }

// MetricsAddress returns the address of a gateway's metrics, as IP:port, or empty.
func (settings *Settings) MetricsAddress() string { return settings.metricsAddress }

// Regions returns the region of each data centre.
func (settings *Settings) Regions() map[string]string { return settings.regions }

// ApplyBound is the time within which a change must be in force on every gateway.
func (settings *Settings) ApplyBound() time.Duration { return settings.applyBound }

// FirstStart reports whether no process of the fleet ran before this start.
func (settings *Settings) FirstStart() bool { return settings.firstStart }

// RetrySlack is how many retries for a service all gateways together may send
// beyond the retry share.
func (settings *Settings) RetrySlack() int { return settings.retrySlack }

// ProbeRate is the number of probes for each endpoint and second that all gateways
// together may send, or 0 for any number.
func (settings *Settings) ProbeRate() float64 { return settings.probeRate }

// PlainPeers reports whether links to peers may be without TLS.
func (settings *Settings) PlainPeers() bool { return settings.plainPeers == "yes" }

// IsGateway reports whether the settings are those of a gateway.
func (settings *Settings) IsGateway() bool { return settings.directoryAddress != "" }

// HeaderBytes bounds the header of a caller's request.
func (settings *Settings) HeaderBytes() int { return settings.headerBytes }

// HeaderTimeout bounds how long a caller may take to send a header.
func (settings *Settings) HeaderTimeout() time.Duration { return settings.headerTimeout }

// IdleTimeout is how long a caller's connection may be idle between requests.
func (settings *Settings) IdleTimeout() time.Duration { return settings.idleTimeout }

// BodyTimeout bounds a caller's pause while it sends or receives a body.
func (settings *Settings) BodyTimeout() time.Duration { return settings.bodyTimeout }

// RequestTimeout bounds a request that neither its caller nor a rule bounds.
func (settings *Settings) RequestTimeout() time.Duration { return settings.requestTimeout }

// MaxAttempts is the maximum number of attempts for one request.
func (settings *Settings) MaxAttempts() int { return settings.maxAttempts }

// RetryShare is the retry budget as a share of a service's requests.
func (settings *Settings) RetryShare() float64 { return settings.retryShare }

// QueueLength bounds the queue of each pool.
func (settings *Settings) QueueLength() int { return settings.queueLength }

// LongShare is the share of a pool's slots that requests of the long lane may hold.
func (settings *Settings) LongShare() float64 { return settings.longShare }

// ConnectTimeout bounds a connection attempt to a backend server.
func (settings *Settings) ConnectTimeout() time.Duration { return settings.connectTimeout }

// AnswerHeaderBytes bounds the header of a backend server's answer.
func (settings *Settings) AnswerHeaderBytes() int { return settings.answerHeaderBytes }

// Policy names how endpoints are chosen.
func (settings *Settings) Policy() string { return settings.policy }

// HoldTime is how long a caller may use a location answer.
func (settings *Settings) HoldTime() time.Duration { return settings.holdTime }

// RegionBytesPerSecond bounds the traffic of loans from each other region.
func (settings *Settings) RegionBytesPerSecond() int { return settings.regionBytesPerSec }

// OffloadsByCost reports whether shares of the requests leave the data centre where that
// costs less.
func (settings *Settings) OffloadsByCost() bool { return settings.offloading == "by-cost" }

// DataCentreBytePrice is the delay that a byte between data centres of a region is worth.
func (settings *Settings) DataCentreBytePrice() time.Duration { return settings.centreBytePrice }

// RegionBytePrice is the delay that a byte between regions is worth.
func (settings *Settings) RegionBytePrice() time.Duration { return settings.regionBytePrice }

// ClaimShards is the number of shards of the claims on keys.
func (settings *Settings) ClaimShards() int { return settings.claimShards }

// ClaimRetention is how long a claim on a key is kept.
func (settings *Settings) ClaimRetention() time.Duration { return settings.claimRetention }

// MaxClaims is the maximum number of claims kept.
func (settings *Settings) MaxClaims() int { return settings.maxClaims }

// LeaveTimeout bounds a planned stop.
func (settings *Settings) LeaveTimeout() time.Duration { return settings.leaveTimeout }

// PeerCertificate is the path of the host's certificate, or empty.
func (settings *Settings) PeerCertificate() string { return settings.peerCertificate }

// PeerKey is the path of the certificate's private key, or empty.
func (settings *Settings) PeerKey() string { return settings.peerKey }

// PeerAuthority is the path of the certificate of the authority that signs the
// peers' certificates, or empty.
func (settings *Settings) PeerAuthority() string { return settings.peerAuthority }

// BootstrapKey is the public key whose holder may create the first committee, or
// nil.
func (settings *Settings) BootstrapKey() ed25519.PublicKey { return settings.bootstrapKey }

// LogVerbosity is klog's verbosity.
func (settings *Settings) LogVerbosity() int { return settings.logVerbosity }

// PeerSeeds returns the hosts to contact for the membership while the host list
// can't be read; only their names and peer addresses are set.
func (settings *Settings) PeerSeeds() []definer.Host { return settings.peerSeeds }

// conflicts returns the problems between settings that are each valid alone.
func (settings *Settings) conflicts() []*Problem {
	var problems []*Problem
	tlsFiles := 0
	for _, file := range []string{settings.peerCertificate, settings.peerKey, settings.peerAuthority} {
		if file != "" {
			tlsFiles++
		}
	}
	if tlsFiles == 1 || tlsFiles == 2 {
		problems = append(problems, &Problem{
			section: "peers", key: "certificate",
			value: settings.peerCertificate, remedy: "give certificate, key and authority together, or none",
		})
	}
	if settings.hostList == "" && !settings.IsGateway() {
		problems = append(problems, &Problem{
			section: "platform", key: "host-list", remedy: "is required unless [gateway] directory-address is given; give " + urlAllowed,
		})
	}
	if tlsFiles == 0 && !isLoopback(settings.peerAddress) && !settings.PlainPeers() {
		problems = append(problems, &Problem{
			section: "peers", key: "certificate",
			remedy: "is required unless [host] peer-address is a loopback address or [peers] plain is yes",
		})
	}
	if settings.address == settings.peerAddress {
		problems = append(problems, &Problem{
			section: "host", key: "peer-address",
			value: settings.peerAddress, remedy: "must differ from [host] address; give another port",
		})
	}
	return problems
}
