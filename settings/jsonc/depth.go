package jsonc

import "bytes"

// maxDepth is the maximum nesting depth of objects and lists; no setting needs more
// than a few levels.
const maxDepth = 64

// excessDepthOffset returns the offset at which a document is nested deeper than
// maxDepth, or -1. The parser recurses for each level, and a goroutine whose stack
// overflows ends the whole process: without this check, a megabyte of brackets that
// is sent as a job would crash an entry. The parser stops at the first character
// that the scan here would misinterpret, so a document that passes is never deeper.
func excessDepthOffset(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		case '{', '[':
			if depth++; depth > maxDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

// skipString returns the offset of the quote that closes the string at i.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last character of the comment at i.
func skipComment(data []byte, i int) int {
	end := ""
	switch {
	case bytes.HasPrefix(data[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(data[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(data[i+2:], []byte(end))
	if n < 0 {
		return len(data)
	}
	return i + 2 + n + len(end) - 1
}
