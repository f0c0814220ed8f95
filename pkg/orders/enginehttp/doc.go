// Package enginehttp reaches the engines over HTTP on behalf of orders.
package enginehttp
