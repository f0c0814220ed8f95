package config

import (
	"fmt"
	"strings"
)

// KnobsMarkdown returns a Markdown table of all knobs for the operators' page.
func KnobsMarkdown() string {
	var table strings.Builder
	table.WriteString("| setting | unit | default | least | greatest | exceptions |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, knob := range KnobTable() {
		exceptions := "yes"
		if knob.FleetWide {
			exceptions = "no"
		}
		// A strings.Builder never fails.
		_, _ = fmt.Fprintf(&table, "| `%s` | %s | %s | %s | %s | %s |\n", knob.Path, knob.Unit, knob.Default, knob.Min, knob.Max, exceptions)
	}
	return table.String()
}
