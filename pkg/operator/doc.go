// Package operator serves the operators' address: the operator API, metrics,
// health, readiness and profiles. Its API is built of go-kit endpoints.
package operator
