package setter

import (
	"crypto/ed25519"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// table is the one home of all settings, in the order of their page.
var table = []setting{
	{
		section: "host", key: "name", required: true, allowed: nameAllowed,
		doc: "The name of this entry host, unique over the fleet.",
		set: name(func(settings *Settings) *string { return &settings.name }),
	},
	{
		section: "host", key: "region", required: true, allowed: nameAllowed,
		doc: "The region that the host stands in.",
		set: name(func(settings *Settings) *string { return &settings.region }),
	},
	{
		section: "host", key: "data-centre", required: true, allowed: nameAllowed,
		doc: "The data centre that the host stands in, unique over the regions.",
		set: name(func(settings *Settings) *string { return &settings.dataCentre }),
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
		section: "platform", key: "timeout", fallback: "2s", allowed: "a time from 10ms to 1m",
		doc: "The bound on one call to the platform; a watch may wait longer.",
		set: duration("10ms", "1m", func(settings *Settings) *time.Duration { return &settings.platformTimeout }),
	},
	{
		section: "gateway", key: "ready-address", allowed: addressAllowed,
		doc: "Where the platform asks a gateway whether it is ready.",
		set: address(func(settings *Settings) *string { return &settings.readyAddress }),
	},
	{
		section: "gateway", key: "directory-address", allowed: addressAllowed,
		doc: "Where callers ask a gateway which addresses to use.",
		set: address(func(settings *Settings) *string { return &settings.directoryAddress }),
	},
	{
		section: "gateway", key: "metrics-address", allowed: addressAllowed,
		doc: "Where a gateway shows its health and its metrics.",
		set: address(func(settings *Settings) *string { return &settings.metricsAddress }),
	},
	{
		section: "gateway", key: "data-centres", allowed: "data-centre=region, with commas between",
		doc: "The region of each data centre, so that a gateway knows how far an endpoint is.",
		set: regions(func(settings *Settings) *map[string]string { return &settings.regions }),
	},
	{
		section: "gateway", key: "apply-bound", fallback: "2s", allowed: "a time from 100ms to 1m",
		doc: "Within what time a change in the store must be in force on every gateway.",
		set: duration("100ms", "1m", func(settings *Settings) *time.Duration { return &settings.applyBound }),
	},
	{
		section: "gateway", key: "retry-slack", fallback: "20", allowed: "a number from 0 to 100000",
		doc: "Retries that all gateways together may send for a service beyond the retry share.",
		set: number(0, 100000, func(settings *Settings) *int { return &settings.retrySlack }),
	},
	{
		section: "callers", key: "header-bytes", fallback: "32768", allowed: "a number from 1024 to 1048576",
		doc: "The largest header of a caller's request, in bytes.",
		set: number(1024, 1<<20, func(settings *Settings) *int { return &settings.headerBytes }),
	},
	{
		section: "callers", key: "header-timeout", fallback: "5s", allowed: "a time from 100ms to 1m",
		doc: "How long a caller may take to send a header.",
		set: duration("100ms", "1m", func(settings *Settings) *time.Duration { return &settings.headerTimeout }),
	},
	{
		section: "callers", key: "idle-timeout", fallback: "1m", allowed: "a time from 1s to 1h",
		doc: "How long a caller's connection may rest between requests.",
		set: duration("1s", "1h", func(settings *Settings) *time.Duration { return &settings.idleTimeout }),
	},
	{
		section: "callers", key: "body-timeout", fallback: "30s", allowed: "a time from 1s to 1h",
		doc: "How long a caller may pause while it sends or takes a body.",
		set: duration("1s", "1h", func(settings *Settings) *time.Duration { return &settings.bodyTimeout }),
	},
	{
		section: "callers", key: "request-timeout", fallback: "1m", allowed: "a time from 10ms to 24h",
		doc: "The deadline of a request that neither its caller nor a rule bounds.",
		set: duration("10ms", "24h", func(settings *Settings) *time.Duration { return &settings.requestTimeout }),
	},
	{
		section: "callers", key: "hold-time", fallback: "5s", allowed: "a time from 100ms to 10m",
		doc: "How long a caller may keep the answer of where to go; a planned stop waits as long.",
		set: duration("100ms", "10m", func(settings *Settings) *time.Duration { return &settings.holdTime }),
	},
	{
		section: "routing", key: "policy", fallback: "slots",
		allowed: "slots, random, two-choices or stale-report",
		doc:     "How endpoints are chosen. All but slots are baselines for measurements.",
		set: choice([]string{"slots", "random", "two-choices", "stale-report"},
			func(settings *Settings) *string { return &settings.policy }),
	},
	{
		section: "routing", key: "queue-length", fallback: "256", allowed: "a number from 1 to 100000",
		doc: "How many requests may wait for one pool on this host.",
		set: number(1, 100000, func(settings *Settings) *int { return &settings.queueLength }),
	},
	{
		section: "routing", key: "long-share", fallback: "0.3", allowed: "a share from 0.05 to 0.95",
		doc: "The share of a pool's slots that long work may hold while there is short work; never the last slot.",
		set: share(0.05, 0.95, func(settings *Settings) *float64 { return &settings.longShare }),
	},
	{
		section: "routing", key: "attempts", fallback: "3", allowed: "a number from 1 to 10",
		doc: "How often one request is sent at most, where it may be sent again at all.",
		set: number(1, 10, func(settings *Settings) *int { return &settings.attempts }),
	},
	{
		section: "routing", key: "retry-share", fallback: "0.1", allowed: "a share from 0 to 1",
		doc: "The retry budget as a share of a service's requests.",
		set: share(0, 1, func(settings *Settings) *float64 { return &settings.retryShare }),
	},
	{
		section: "routing", key: "region-bytes", fallback: "262144", allowed: "a number from 0 to 100000000",
		doc: "Bytes a second that loans from each other region may cost, with what they carry.",
		set: number(0, 100000000, func(settings *Settings) *int { return &settings.regionBytesPerSec }),
	},
	{
		section: "routing", key: "connect-timeout", fallback: "250ms", allowed: "a time from 1ms to 1m",
		doc: "The bound on making a connection to a backend server.",
		set: duration("1ms", "1m", func(settings *Settings) *time.Duration { return &settings.connectTimeout }),
	},
	{
		section: "routing", key: "answer-header-bytes", fallback: "65536", allowed: "a number from 1024 to 1048576",
		doc: "The largest header of a backend server's answer, in bytes.",
		set: number(1024, 1<<20, func(settings *Settings) *int { return &settings.answerHeadBytes }),
	},
	{
		section: "claims", key: "shards", fallback: "4", allowed: "a number from 1 to 1024",
		doc: "How many shards the claims on Idempotency-Keys are split over; alike on all hosts.",
		set: number(1, 1024, func(settings *Settings) *int { return &settings.claimShards }),
	},
	{
		section: "claims", key: "retention", fallback: "24h", allowed: "a time from 1m to 720h",
		doc: "How long a claim and its outcome are kept; alike on all hosts.",
		set: duration("1m", "720h", func(settings *Settings) *time.Duration { return &settings.claimRetention }),
	},
	{
		section: "claims", key: "most", fallback: "10000000", allowed: "a number from 100 to 100000000",
		doc: "How many claims are kept in all; over it keyed requests are refused as not run.",
		set: number(100, 100000000, func(settings *Settings) *int { return &settings.claimMost }),
	},
	{
		section: "peers", key: "plain", fallback: "no", allowed: "yes or no",
		doc: "Whether links to peers may go without TLS on a network that the platform keeps to itself.",
		set: choice([]string{"yes", "no"}, func(settings *Settings) *string { return &settings.plainPeers }),
	},
	{
		section: "peers", key: "seeds", allowed: "name=IP:port of other hosts' peer addresses, with commas between",
		doc: "Hosts to learn the fleet from where the host list, or for a gateway the store, can't be read at the start. On plain links the names only stand for them.",
		set: seeds(func(settings *Settings) *[]definer.Host { return &settings.peerSeeds }),
	},
	{
		section: "peers", key: "certificate", allowed: "a file",
		doc: "The host's certificate (PEM), whose name is the host's name. Read again when it changes.",
		set: anything(func(settings *Settings) *string { return &settings.peerCertificate }),
	},
	{
		section: "peers", key: "key", allowed: "a file",
		doc: "The key of the certificate (PEM).",
		set: anything(func(settings *Settings) *string { return &settings.peerKey }),
	},
	{
		section: "peers", key: "authority", allowed: "a file",
		doc: "The certificate of the authority that signs the peers' certificates (PEM).",
		set: anything(func(settings *Settings) *string { return &settings.peerAuthority }),
	},
	{
		section: "operators", key: "bootstrap-key", allowed: "a public key as chivesctl keygen prints it",
		doc: "Who may found the first committee while no configuration was ever accepted.",
		set: publicKey(func(settings *Settings) *ed25519.PublicKey { return &settings.bootstrapKey }),
	},
	{
		section: "leaving", key: "bound", fallback: "1m", allowed: "a time from 1s to 1h",
		doc: "The bound on a planned stop; what still runs then is cut off and named in the log.",
		set: duration("1s", "1h", func(settings *Settings) *time.Duration { return &settings.leaveBound }),
	},
	{
		section: "logs", key: "verbosity", fallback: "0", allowed: "a number from 0 to 10",
		doc: "How much is logged; 0 is for daily use.",
		set: number(0, 10, func(settings *Settings) *int { return &settings.logVerbosity }),
	},
}
