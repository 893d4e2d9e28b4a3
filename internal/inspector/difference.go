package inspector

import (
	"fmt"
	"strings"

	"github.com/chivespool/chivespool/internal/definer"
)

// property is a part of an entry in the form in which it is shown.
type property struct {
	name  string
	value string
}

// comparableEntry is an entry that has a name and properties, in the same order for all entries of a
// type.
type comparableEntry interface {
	named
	properties() []property
}

// Compare returns what configuration changes in the version in force. A version that is
// not higher is an Error, since hosts do not adopt it; all others are Differences.
func Compare(configuration, inForce *Configuration) []Finding {
	report := &report{class: Error}
	if configuration.version > 0 && configuration.version <= inForce.version {
		report.add("configuration", "version-not-higher", "version %d is not higher than %d, which is in force; raise it", configuration.version, inForce.version)
	}
	report.class = Difference
	if before, after := formatLimits(inForce.limits), formatLimits(configuration.limits); before != after {
		report.add("limits", "changed", "%s, was %s", after, before)
	}
	compareEntries(configuration.routes, inForce.routes, nil, report)
	compareEntries(configuration.accounts, inForce.accounts, compareKeys, report)
	compareEntries(configuration.services, inForce.services, nil, report)
	return report.findings
}

// compareEntries reports the entries that were added, changed and removed. more returns
// changes beyond the properties; it may be nil.
func compareEntries[E comparableEntry](entries, inForce []E, more func(after, before E) []string, report *report) {
	previous, kept := make(map[string]E, len(inForce)), make(map[string]bool, len(entries))
	for _, entry := range inForce {
		previous[entry.name()] = entry
	}
	for _, entry := range entries {
		kept[entry.name()] = true
		before, ok := previous[entry.name()]
		if !ok {
			report.add(entry.entry(), "added", "is not in the version in force")
			continue
		}
		changes := compareProperties(entry.properties(), before.properties())
		if more != nil {
			changes = append(changes, more(entry, before)...)
		}
		if len(changes) > 0 {
			report.add(entry.entry(), "changed", "%s", strings.Join(changes, "; "))
		}
	}
	for _, entry := range inForce {
		if !kept[entry.name()] {
			report.add(entry.entry(), "removed", "is in the version in force")
		}
	}
}

func compareProperties(after, before []property) []string {
	var changes []string
	for index, property := range after {
		if previous := before[index].value; property.value != previous {
			changes = append(changes, fmt.Sprintf("%s %q, was %q", property.name, property.value, previous))
		}
	}
	return changes
}

// compareKeys counts the keys that were added and removed.
func compareKeys(after, before Account) []string {
	added, removed := after.keysWithout(before), before.keysWithout(after)
	if added == 0 && removed == 0 {
		return nil
	}
	return []string{fmt.Sprintf("API keys added: %d, removed: %d", added, removed)}
}

func formatLimits(limits definer.CallerLimits) string {
	return fmt.Sprintf("header %d bytes in %v, body %d bytes, idle %v",
		limits.HeaderBytes(), limits.HeaderTimeout(), limits.BodyBytes(), limits.IdleTimeout())
}
