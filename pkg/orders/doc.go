// Package orders carries out orders to engines and to the platform so that a
// target never gets conflicting ones.
package orders
