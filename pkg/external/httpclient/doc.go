// Package httpclient reaches the platform's systems over HTTP.
package httpclient
