package jsonc

import "bytes"

// maxDepth bounds how deep a document nests.
const maxDepth = 16

// nestsTooDeep looks for brackets over the bound before the parser, which
// recurses, sees the text. It returns where the first one stands.
func nestsTooDeep(text []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case '"':
			i = endOfText(text, i)
		case '/':
			i = endOfComment(text, i)
		}
		if depth > maxDepth {
			return i, true
		}
	}
	return 0, false
}

// endOfText returns where the quoted text that starts at i ends.
func endOfText(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns where the comment that starts at i ends, or i where none
// starts.
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
