// Package daemon joins the parts of one amaranthplank process and runs them.
package daemon
