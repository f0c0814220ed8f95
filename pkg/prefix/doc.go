// Package prefix indexes which engine holds which prompt blocks in its prefix
// cache. The index is fed by the engines' cache events, which arrive late and
// with gaps, and by the daemon's own sends.
package prefix
