// Package presenceprobe probes targets that refused connections, so that no caller's
// request has to find out whether they are back.
package presenceprobe
