// Command plots simulates each trace of package shift and writes a plot of it
// into a directory.
package main

import (
	"flag"
	"fmt"
	"os"

	"amaranthplank.example/amaranthplank/bench/shift"
)

// main writes the images and exits with 1 on an error.
func main() {
	dir := flag.String("dir", "docs/plots", "the `directory` for the images")
	flag.Parse()
	if err := shift.WritePlots(*dir); err != nil {
		fmt.Fprintln(os.Stderr, "plots:", err)
		os.Exit(1)
	}
}
