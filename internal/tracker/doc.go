// Package tracker keeps a host's copy of the platform's store current and
// records when the copy was last known to be complete. Package launcher runs it.
//
// A freshness check is a read of the store's revision; a watch that reports no
// changes does not count as one. One host of the fleet reads the store; the
// others fetch updates from it along a tree of regions and data centres
// (treePosition). Correctness does not depend on the tree: a host whose last
// check is too old reads the store itself, and its children receive the result.
// A host never returns to an older revision of an era, an older era or an older routing
// version. Revisions are compared only within an era of the store ([definer.Point]); a
// copy of a later era replaces the whole copy, also at a lower revision, while the
// builder keeps for some time what the older copy of the store has lost (eras).
//
// A tracker has two tasks, run by the caller: the poller reads the store, and the
// puller fetches updates from the host's parent in the tree. Both read the clock;
// the calls to the store and to peers are made through interfaces.
package tracker
