// Package jsonc strictly decodes JSON with comments into structs and reports the
// line of every problem.
package jsonc
