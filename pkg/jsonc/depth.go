package jsonc

import "bytes"

// maxDepth bounds the nesting depth of a document.
const maxDepth = 16

// findExcessiveNesting reports whether the text is nested deeper than maxDepth,
// and the offset of the first bracket beyond it. It must run before the parser,
// which recurses once per level.
func findExcessiveNesting(text []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		}
		if depth > maxDepth {
			return i, true
		}
	}
	return 0, false
}

// endOfString returns the offset at which the quoted string that starts at i ends.
func endOfString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the offset at which the comment that starts at i ends, or i
// if no comment starts there.
func endOfComment(text []byte, i int) int {
	rest := text[i:]
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		if end := bytes.IndexByte(rest, '\n'); end >= 0 {
			return i + end
		}
		return len(text)
	case bytes.HasPrefix(rest, []byte("/*")):
		const opening = len("/*")
		if end := bytes.Index(rest[opening:], []byte("*/")); end >= 0 {
			return i + opening + end + 1
		}
		return len(text)
	}
	return i
}
