// Package bench measures the system's decisions on small fakes in fake time.
package bench
