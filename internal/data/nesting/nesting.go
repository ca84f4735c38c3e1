// Package nesting bounds the nesting of JSON texts that another process may have written.
package nesting

// MaxLevels is the deepest nesting of arrays and objects in a JSON text that is decoded. The
// texts that are read have fewer levels.
const MaxLevels = 32

// Flatten returns the JSON text with null in place of each value that is nested more than
// MaxLevels levels deep, and whether there was one. The decoder would reject the whole
// text for a value thousands of levels deep.
func Flatten(text []byte) (flat []byte, cut bool) {
	depth, start := 0, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i += stringLength(text[i:]) - 1
		case '[', '{':
			depth++
			if depth == MaxLevels+1 {
				flat = append(append(flat, text[start:i]...), "null"...)
				cut = true
			}
		case ']', '}':
			depth--
			if depth == MaxLevels {
				start = i + 1
			}
		}
	}
	switch {
	case !cut:
		return text, false
	case depth > MaxLevels:
		return flat, true
	}
	return append(flat, text[start:]...), true
}

// stringLength returns the length of the JSON string at the start of the text, with its
// quotes, or that of the text if the string does not end.
func stringLength(text []byte) int {
	end := 1
	for end < len(text) {
		switch text[end] {
		case '"':
			return end + 1
		case '\\':
			end++
		}
		end++
	}
	return len(text)
}
