// Command amaranthctl is the operators' tool.
package main

import (
	"flag"
	"fmt"
	"os"

	"amaranthplank.example/amaranthplank/pkg/config"
)

func main() {
	flag.Parse()
	if flag.NArg() != 2 || flag.Arg(0) != "check" {
		_, _ = fmt.Fprintln(os.Stderr, "usage: amaranthctl check FILE")
		os.Exit(2)
	}
	text, err := os.ReadFile(flag.Arg(1))
	if err == nil {
		_, err = config.Parse(text)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
