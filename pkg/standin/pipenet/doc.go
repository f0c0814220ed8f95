// Package pipenet is a network in memory for tests in fake time. Connections
// can be refused, and open ones can go silent for good while new ones work.
package pipenet
