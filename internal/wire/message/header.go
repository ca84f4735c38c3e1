package message

import (
	"maps"
	"slices"
)

// HeadersOf returns the fields of an HTTP header in the order of their names,
// except the excluded ones. Names are in canonical form.
func HeadersOf(header map[string][]string, excluded map[string]bool) []Header {
	var kept []Header
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if excluded[name] {
			continue
		}
		for _, value := range header[name] {
			kept = append(kept, Header{Name: name, Value: value})
		}
	}
	return kept
}
