package devmode

import (
	"fmt"
	"io"
)

// printExamples prints the platform's base URL, the key and example commands.
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
		// If the output is closed, the error can't be reported.
		_, _ = fmt.Fprintln(out, line)
	}
}
