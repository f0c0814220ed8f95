// Package pipenet is an in-memory network based on net.Pipe, for tests in synctest
// bubbles. New connections can be refused, and open ones can be made to drop all
// data while new ones work.
package pipenet
