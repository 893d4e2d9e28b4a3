package soaker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/platform"
)

// The accounts of the callers. One has a quota below the demand of its callers.
const (
	quotaRate  = 30.0
	quotaBurst = 30.0
	// In any quotaWindow, an account may exceed its quota by quotaOverage, and by
	// quotaSlack requests.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// rotatingKeyShare is the share of requests with a key that only some versions have,
	// and maxKeyAge the number of versions after the one that added it, up to which
	// callers use a key. keyLifetime is the number of versions that have it.
	rotatingKeyShare = 0.2
	maxKeyAge        = 2
	keyLifetime      = 2
)

// accountNames are the names of the accounts; limitedAccount has a quota.
var accountNames = []string{"clerks", limitedAccount}

const limitedAccount = "notaries"

// accountsOf returns the accounts of a version with their keys.
func accountsOf(version uint64) []platform.KeyedAccount {
	var accounts []platform.KeyedAccount
	for _, name := range accountNames {
		account, keys := definer.NewAccount(name, 0), []string{keyOf(request{account: name})}
		if name == limitedAccount {
			account = account.WithQuota(quotaRate, quotaBurst)
		}
		for added := version; added > 0 && added+keyLifetime > version; added-- {
			keys = append(keys, keyOf(request{account: name, keyVersion: added}))
		}
		accounts = append(accounts, platform.NewKeyedAccount(account, keys...))
	}
	return accounts
}

// keyOf returns the key of a request.
func keyOf(request request) string {
	return fmt.Sprintf("key-%s-%d", request.account, request.keyVersion)
}

// keyRejectedInForce reports whether a host that had access to the store rejected a key
// that every version has that may have been in force there.
func (observations *observations) keyRejectedInForce(request request) bool {
	return observations.connected(request.gateway, request.sent) &&
		observations.versionAt(request.sent.Add(-applyBound)) >= request.keyVersion &&
		observations.versionAt(request.ended) < request.keyVersion+keyLifetime
}

func wrongAccounts(observations *observations) (found []string) {
	for _, run := range observations.runs {
		if request := observations.byID[run.id]; run.keyed || run.account != request.account {
			found = append(found, fmt.Sprintf("%s of %s ran for account %q, with a key: %v", run.id, request.account, run.account, run.keyed))
		}
	}
	return found
}

func withdrawnKeys(observations *observations) (found []string) {
	for _, run := range observations.runs {
		request := observations.byID[run.id]
		if request.keyVersion == 0 || request.sent.IsZero() || !observations.connected(request.gateway, request.sent) {
			continue
		}
		if due := observations.versionAt(request.sent.Add(-applyBound)); due >= request.keyVersion+keyLifetime {
			found = append(found, fmt.Sprintf("%s by %s ran with the key of version %d instead of one of version %d", run.id, request.gateway, request.keyVersion, due))
		}
	}
	return found
}

func overQuota(observations *observations) (found []string) {
	var times []time.Time
	for _, run := range observations.runs {
		if run.account == limitedAccount {
			times = append(times, run.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	for index, at := range times {
		if count := countWithin(times[:index+1], at.Add(-quotaWindow), at); float64(count) > allowed {
			return []string{fmt.Sprintf("%s ran %d requests in %v, %v are allowed", limitedAccount, count, quotaWindow, allowed)}
		}
	}
	return nil
}

func routedAfterEvacuation(observations *observations) (found []string) {
	for _, run := range observations.runs {
		request := observations.byID[run.id]
		for _, evacuation := range observations.evacuations[run.dataCentre] {
			if run.at.Sub(evacuation.from) <= evacuationBound || run.at.After(evacuation.to) ||
				!observations.undisturbed(everywhere, evacuation.from, evacuation.from, stableWindow) {
				continue
			}
			if observations.connected(request.gateway, request.sent) && observations.connected(request.gateway, run.at) {
				found = append(found, fmt.Sprintf("%s by %s ran on %s %v after the evacuation of %s", run.id, request.gateway, run.endpoint, run.at.Sub(evacuation.from), run.dataCentre))
			}
		}
	}
	return found
}

func outsideRegions(observations *observations) (found []string) {
	for _, run := range observations.runs {
		if strings.HasPrefix(run.target, oncePrefix) && regions[run.dataCentre] != regionName {
			found = append(found, fmt.Sprintf("%s ran on %s in %s", run.id, run.endpoint, run.dataCentre))
		}
	}
	return found
}
