// Package daemon builds the components of one amaranthplank process and runs them.
package daemon
