package settings

import (
	"reflect"
	"sort"
	"strings"
)

// maxSuggestionDistance is the number of edits up to which a known name is
// suggested; beyond it the suggestion would more often mislead.
const maxSuggestionDistance = 3

// closest returns the known name that needs the fewest edits, or "".
func closest(name string, known map[string]reflect.Value) string {
	names := make([]string, 0, len(known))
	for k := range known {
		names = append(names, k)
	}
	sort.Strings(names)
	best, bestDistance := "", maxSuggestionDistance+1
	for _, k := range names {
		if distance := editDistance(strings.ToLower(name), strings.ToLower(k)); distance < bestDistance {
			best, bestDistance = k, distance
		}
	}
	return best
}

// editDistance is the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
