package settings

import (
	"reflect"
	"sort"
	"strings"
)

// maxSuggestionDistance is the largest edit distance at which a known name is
// suggested. With a larger one, suggestions would mislead more often than help.
const maxSuggestionDistance = 3

// closestName returns the known name with the smallest edit distance from name,
// regardless of case, or "" if none is within maxSuggestionDistance.
func closestName(name string, known map[string]reflect.Value) string {
	names := make([]string, 0, len(known))
	for candidate := range known {
		names = append(names, candidate)
	}
	sort.Strings(names)
	best, bestDistance := "", maxSuggestionDistance+1
	for _, candidate := range names {
		if distance := editDistance(strings.ToLower(name), strings.ToLower(candidate)); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of a and b in bytes.
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
