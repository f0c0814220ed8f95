//go:build deps

// Package deps lists the libraries of this module.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/shoenig/test"
	_ "github.com/shoenig/test/must"
	_ "gonum.org/v1/gonum/optimize/convex/lp"
	_ "gonum.org/v1/gonum/stat/distuv"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "pgregory.net/rapid"

	_ "amaranthplank.example/amaranthplank/pkg/daemon"
)
