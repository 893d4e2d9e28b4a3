package loader

import (
	"crypto/ed25519"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// table defines all settings, in the order of docs/SETTINGS.md.
var table = []setting{
	{
		section: "host", key: "name", required: true, allowed: nameAllowed,
		doc: "The name of this entry host, unique in the fleet.",
		set: identifier(func(settings *Settings) *string { return &settings.name }),
	},
	{
		section: "host", key: "region", required: true, allowed: nameAllowed,
		doc: "The region of the host.",
		set: identifier(func(settings *Settings) *string { return &settings.region }),
	},
	{
		section: "host", key: "data-centre", required: true, allowed: nameAllowed,
		doc: "The data centre of the host, unique across regions.",
		set: identifier(func(settings *Settings) *string { return &settings.dataCentre }),
	},
	{
		section: "host", key: "address", required: true, allowed: addressAllowed,
		doc: "Where callers and operators connect.",
		set: address(func(settings *Settings) *string { return &settings.address }),
	},
	{
		section: "host", key: "peer-address", required: true, allowed: addressAllowed,
		doc: "Where other entry hosts connect.",
		set: address(func(settings *Settings) *string { return &settings.peerAddress }),
	},
	{
		section: "host", key: "link-megabits", defaultValue: "0", allowed: "a number from 0 to 1000000",
		doc: "The rate of the host's network link in megabits per second, or 0 if it is unknown. Hosts with faster links forward the updates of a gateway fleet.",
		set: fraction(0, 1e6, func(settings *Settings) *float64 { return &settings.linkMegabits }),
	},
	{
		section: "platform", key: "store", required: true, allowed: urlAllowed,
		doc: "The platform's key-value store.",
		set: baseURL(func(settings *Settings) *string { return &settings.store }),
	},
	{
		section: "platform", key: "host-list", allowed: urlAllowed,
		doc: "The platform's list of hosts; a gateway needs none.",
		set: baseURL(func(settings *Settings) *string { return &settings.hostList }),
	},
	{
		section: "platform", key: "timeout", defaultValue: "2s", allowed: "a time from 10ms to 1m",
		doc: "The bound on the time until the platform's reply begins, and on each pause in it; a watch may wait longer.",
		set: duration("10ms", "1m", func(settings *Settings) *time.Duration { return &settings.platformTimeout }),
	},
	{
		section: "gateway", key: "ready-address", allowed: addressAllowed,
		doc: "Where the platform checks whether a gateway is ready.",
		set: address(func(settings *Settings) *string { return &settings.readyAddress }),
	},
	{
		section: "gateway", key: "directory-address", allowed: addressAllowed,
		doc: "Where callers ask a gateway which addresses to use.",
		set: address(func(settings *Settings) *string { return &settings.directoryAddress }),
	},
	{
		section: "gateway", key: "metrics-address", allowed: addressAllowed,
		doc: "Where a gateway serves its health and metrics.",
		set: address(func(settings *Settings) *string { return &settings.metricsAddress }),
	},
	{
		section: "gateway", key: "data-centres", allowed: "data-centre=region pairs, separated by commas",
		doc: "The region of each data centre, by which a gateway computes the distance of an endpoint.",
		set: regions(func(settings *Settings) *map[string]string { return &settings.regions }),
	},
	{
		section: "gateway", key: "apply-bound", defaultValue: "2s", allowed: "a time from 100ms to 1m",
		doc: "The time within which a change in the store must be in force on every gateway.",
		set: duration("100ms", "1m", func(settings *Settings) *time.Duration { return &settings.applyBound }),
	},
	{
		section: "gateway", key: "first-start", defaultValue: "false", allowed: "true or false",
		doc: "Whether no gateway of the fleet ran before this start, so that no host can have granted permits of quotas.",
		set: boolean(func(settings *Settings) *bool { return &settings.firstStart }),
	},
	{
		section: "gateway", key: "retry-slack", defaultValue: "20", allowed: "a number from 0 to 100000",
		doc: "Retries that all gateways together may send for a service beyond the retry share.",
		set: number(0, 100000, func(settings *Settings) *int { return &settings.retrySlack }),
	},
	{
		section: "gateway", key: "probe-rate", defaultValue: "0", allowed: "a number from 0 to 100000, or nothing",
		doc: "Probes for each endpoint and second that all gateways together may send; 0 or nothing for any number.",
		set: orNothing(fraction(0, 100000, func(settings *Settings) *float64 { return &settings.probeRate })),
	},
	{
		section: "callers", key: "header-bytes", defaultValue: "32768", allowed: "a number from 1024 to 1048576",
		doc: "The largest header of a caller's request, in bytes; on a gateway, a limit of the routing goes first.",
		set: number(1024, 1<<20, func(settings *Settings) *int { return &settings.headerBytes }),
	},
	{
		section: "callers", key: "header-timeout", defaultValue: "5s", allowed: "a time from 100ms to 1m",
		doc: "How long a caller may take to send a header; on a gateway, a limit of the routing goes first.",
		set: duration("100ms", "1m", func(settings *Settings) *time.Duration { return &settings.headerTimeout }),
	},
	{
		section: "callers", key: "idle-timeout", defaultValue: "1m", allowed: "a time from 1s to 1h",
		doc: "How long a caller's connection may be idle between requests; on a gateway, a limit of the routing goes first.",
		set: duration("1s", "1h", func(settings *Settings) *time.Duration { return &settings.idleTimeout }),
	},
	{
		section: "callers", key: "body-timeout", defaultValue: "30s", allowed: "a time from 1s to 1h",
		doc: "How long a caller may pause while it sends or receives a body.",
		set: duration("1s", "1h", func(settings *Settings) *time.Duration { return &settings.bodyTimeout }),
	},
	{
		section: "callers", key: "request-timeout", defaultValue: "1m", allowed: "a time from 10ms to 24h",
		doc: "The deadline of a request that neither its caller nor a rule bounds.",
		set: duration("10ms", "24h", func(settings *Settings) *time.Duration { return &settings.requestTimeout }),
	},
	{
		section: "callers", key: "hold-time", defaultValue: "5s", allowed: "a time from 100ms to 10m",
		doc: "How long a caller may use an answer that names the entry hosts to use; a planned stop waits that long.",
		set: duration("100ms", "10m", func(settings *Settings) *time.Duration { return &settings.holdTime }),
	},
	{
		section: "routing", key: "policy", defaultValue: "slots",
		allowed: "slots, random, two-choices or stale-report",
		doc:     "How endpoints are chosen. All but slots are baselines for measurements.",
		set: choice([]string{"slots", "random", "two-choices", "stale-report"},
			func(settings *Settings) *string { return &settings.policy }),
	},
	{
		section: "routing", key: "queue-length", defaultValue: "256", allowed: "a number from 1 to 100000",
		doc: "How many requests may wait for one pool on this host.",
		set: number(1, 100000, func(settings *Settings) *int { return &settings.queueLength }),
	},
	{
		section: "routing", key: "long-share", defaultValue: "0.3", allowed: "a share from 0.05 to 0.95",
		doc: "The share of a pool's slots that long work may hold while there is short work; never the last slot.",
		set: fraction(0.05, 0.95, func(settings *Settings) *float64 { return &settings.longShare }),
	},
	{
		section: "routing", key: "attempts", defaultValue: "3", allowed: "a number from 1 to 10",
		doc: "The maximum number of attempts for one request, if it may be retried.",
		set: number(1, 10, func(settings *Settings) *int { return &settings.maxAttempts }),
	},
	{
		section: "routing", key: "retry-share", defaultValue: "0.1", allowed: "a share from 0 to 1",
		doc: "The retry budget as a share of a service's requests.",
		set: fraction(0, 1, func(settings *Settings) *float64 { return &settings.retryShare }),
	},
	{
		section: "routing", key: "region-bytes", defaultValue: "262144", allowed: "a number from 0 to 100000000",
		doc: "The bound on bytes per second for loans from each other region, including the requests and answers on borrowed slots.",
		set: number(0, 100000000, func(settings *Settings) *int { return &settings.regionBytesPerSec }),
	},
	{
		section: "routing", key: "offloading", defaultValue: "by-need", allowed: "by-need or by-cost",
		doc: "When a gateway's requests leave their data centre: by-need where a request finds its own data centre crowded, too slow or too late; by-cost where that also costs less, for a share of the requests that follows the load.",
		set: choice([]string{"by-need", "by-cost"}, func(settings *Settings) *string { return &settings.offloading }),
	},
	{
		section: "routing", key: "data-centre-byte-price", defaultValue: "800ns", allowed: "a time from 0s to 1ms",
		doc: "The delay that sending a byte of a request or answer between data centres of a region is worth; a gateway's requests leave their data centre if that saves more.",
		set: duration("0s", "1ms", func(settings *Settings) *time.Duration { return &settings.centreBytePrice }),
	},
	{
		section: "routing", key: "region-byte-price", defaultValue: "1500ns", allowed: "a time from 0s to 1ms",
		doc: "The delay that sending a byte of a request or answer between regions is worth; a gateway's requests leave their region if that saves more.",
		set: duration("0s", "1ms", func(settings *Settings) *time.Duration { return &settings.regionBytePrice }),
	},
	{
		section: "routing", key: "connect-timeout", defaultValue: "250ms", allowed: "a time from 1ms to 1m",
		doc: "The timeout of a connection attempt to a backend server.",
		set: duration("1ms", "1m", func(settings *Settings) *time.Duration { return &settings.connectTimeout }),
	},
	{
		section: "routing", key: "answer-header-bytes", defaultValue: "65536", allowed: "a number from 1024 to 1048576",
		doc: "The largest header of a backend server's answer, in bytes.",
		set: number(1024, 1<<20, func(settings *Settings) *int { return &settings.answerHeaderBytes }),
	},
	{
		section: "claims", key: "shards", defaultValue: "4", allowed: "a number from 1 to 1024",
		doc: "How many shards the claims on Idempotency-Keys are split over; must be the same on all hosts.",
		set: number(1, 1024, func(settings *Settings) *int { return &settings.claimShards }),
	},
	{
		section: "claims", key: "retention", defaultValue: "24h", allowed: "a time from 1m to 720h",
		doc: "How long a claim and its outcome are kept; must be the same on all hosts.",
		set: duration("1m", "720h", func(settings *Settings) *time.Duration { return &settings.claimRetention }),
	},
	{
		section: "claims", key: "most", defaultValue: "10000000", allowed: "a number from 100 to 100000000",
		doc: "The maximum number of claims; beyond it, requests with a key are refused as not run.",
		set: number(100, 100000000, func(settings *Settings) *int { return &settings.maxClaims }),
	},
	{
		section: "peers", key: "plain", defaultValue: "no", allowed: "yes or no",
		doc: "Whether links to peers may go without TLS, for a network that is private to the platform.",
		set: choice([]string{"yes", "no"}, func(settings *Settings) *string { return &settings.plainPeers }),
	},
	{
		section: "peers", key: "seeds", allowed: "name=IP:port of other hosts' peer addresses, separated by commas",
		doc: "Hosts to learn the fleet from if the host list (for a gateway, the store) can't be read at the start. On plain links the names are only labels.",
		set: seeds(func(settings *Settings) *[]definer.Host { return &settings.peerSeeds }),
	},
	{
		section: "peers", key: "certificate", allowed: "a file",
		doc: "The host's certificate (PEM), issued to the host's name. Reloaded when it changes.",
		set: anyValue(func(settings *Settings) *string { return &settings.peerCertificate }),
	},
	{
		section: "peers", key: "key", allowed: "a file",
		doc: "The private key of the certificate (PEM).",
		set: anyValue(func(settings *Settings) *string { return &settings.peerKey }),
	},
	{
		section: "peers", key: "authority", allowed: "a file",
		doc: "The certificate of the authority that signs the peers' certificates (PEM).",
		set: anyValue(func(settings *Settings) *string { return &settings.peerAuthority }),
	},
	{
		section: "operators", key: "bootstrap-key", allowed: "a public key as chivesctl keygen prints it",
		doc: "The public key that may found the first committee, as long as no configuration has been accepted.",
		set: publicKey(func(settings *Settings) *ed25519.PublicKey { return &settings.bootstrapKey }),
	},
	{
		section: "leaving", key: "bound", defaultValue: "1m", allowed: "a time from 1s to 1h",
		doc: "The bound on a planned stop; requests still running then are aborted and logged.",
		set: duration("1s", "1h", func(settings *Settings) *time.Duration { return &settings.leaveTimeout }),
	},
	{
		section: "logs", key: "verbosity", defaultValue: "0", allowed: "a number from 0 to 10",
		doc: "The log verbosity; 0 is for normal operation.",
		set: number(0, 10, func(settings *Settings) *int { return &settings.logVerbosity }),
	},
}
