// Package httpclient implements the interfaces of package external over HTTP.
package httpclient
