// Package monitor judges which entry hosts are live, suspect, leaving or gone.
package monitor
