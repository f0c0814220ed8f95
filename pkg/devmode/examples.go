package devmode

import (
	"fmt"
	"io"
)

// printExamples prints the key and commands that work.
func printExamples(out io.Writer, platformBase, base, key string) {
	lines := []string{
		"platform: " + platformBase,
		"workspace key: " + key,
		"A streamed completion:",
		fmt.Sprintf(`  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"count the shelf"}]}'`, base, key, devModel),
		"A ledger adjustment:",
		fmt.Sprintf(`  curl %s/services/%s/adjustments -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"item":"rice","amount":3}'`, base, devService, key),
	}
	for _, line := range lines {
		// Nothing can be done where the terminal is gone.
		_, _ = fmt.Fprintln(out, line)
	}
}
