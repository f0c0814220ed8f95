// Package streamorigin knows which software version of its target began a stream, so that
// a stream which a caller takes up again at any daemon goes on at that version.
//
// A caller names the request that brought the first event of its stream. The daemon that
// served it may have ended since. While a pool has targets of several versions, each
// daemon therefore sends the streams that it begins to its neighbors with its next report.
// A daemon that doesn't know a stream sends a question to those that it is linked to, of its
// own cell and one of each other, and waits a moment.
//
// Where a pool has had one version for as long as a stream can last, nothing is sent and
// nothing has to be known. No stream begins at a version that the record in the store lacks,
// and a daemon relies on a version being the only one after it has read that record anew.
// So neither an old view nor a pause of the process lets a stream go on at another version.
package streamorigin
