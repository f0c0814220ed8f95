// Package jsonc reads JSON with comments strictly and tells the line of every
// fault that it finds.
package jsonc
