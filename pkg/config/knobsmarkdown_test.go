package config

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "write the table of knobs into the operators' page")

// operatorsPage is the page that holds the table between the two markers.
const (
	operatorsPage = "../../docs/OPERATIONS.md"
	tableBegin    = "<!-- knobs: begin -->\n"
	tableEnd      = "<!-- knobs: end -->"
)

func TestOperatorsPageHoldsEveryKnob(t *testing.T) {
	page, err := os.ReadFile(operatorsPage)
	must.NoError(t, err)
	before, rest, found := strings.Cut(string(page), tableBegin)
	must.True(t, found)
	table, after, found := strings.Cut(rest, tableEnd)
	must.True(t, found)
	if *update {
		must.NoError(t, os.WriteFile(operatorsPage, []byte(before+tableBegin+KnobsMarkdown()+tableEnd+after), 0o644))
		return
	}
	must.Eq(t, KnobsMarkdown(), table, must.Sprint("run go test ./pkg/config -run OperatorsPage -update"))
}
