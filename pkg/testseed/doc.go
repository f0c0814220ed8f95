// Package testseed sets a fixed seed for property-based tests, so that all runs
// give the same result. Test files import it for its side effect.
package testseed
