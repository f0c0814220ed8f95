// Package faultstore wraps a store with the failures that the platform's has:
// outages, slow spells, answers lost after taking effect, skipped watches and
// bounded rates. It counts the calls by the first part of their keys.
package faultstore
