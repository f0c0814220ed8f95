// Package admission decides whether and when a request may go on to a target.
package admission
