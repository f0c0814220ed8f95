// Package prefix keeps an index of which engine holds which prompt blocks in
// its prefix memory. It is fed by the engines' cache events, which come late
// and with gaps, and by the daemon's own sends.
package prefix
