// Package orders carries out orders to engines and to the platform. A journal
// in the store and fencing tokens ensure that a target never receives conflicting
// orders, also when the process that carries them out changes.
package orders
