// Package storemeter exports metrics of a daemon's calls to the store.
package storemeter
