// Package storemeter counts and times a daemon's calls to the store.
package storemeter
