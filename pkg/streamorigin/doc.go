// Package streamorigin records which software version of its target began a stream, so that
// a stream which a caller takes up again at any daemon continues at that version.
//
// Where it is recorded: at the daemon that began the stream; while a pool has several versions also
// at the daemons that get its reports, and, of streams that last over 50 ms, in the store. All
// others query the daemons that they are linked to. Of a pool with one version no record is needed:
// no stream begins at a version that the pool's record in the store lacks, and a daemon takes a
// version for the only one after it has read that record anew.
//
// For how long: as long as a caller may take the stream up, by the longest timeout in force since
// it began and the patience of its callers. If no record is found, the stream is refused as not run,
// after 450 ms at most. So is one that began at a target whose process may have been another one
// than that which stated the version.
//
// What it costs: six bytes a stream to each neighbor and up to ten writes a second for each host
// while versions are mixed; else a part of one read of the store for each stream taken up.
package streamorigin
