// Package operator serves the operator API, metrics, health and readiness checks,
// and profiles. The API is built from go-kit endpoints.
package operator
