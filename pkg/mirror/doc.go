// Package mirror follows the keys of the store under a prefix with a single watch,
// and passes the changes to listeners that each follow some of the keys.
package mirror
