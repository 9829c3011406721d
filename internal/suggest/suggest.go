// Package suggest finds the known name that an unknown one was probably meant to be.
package suggest

import (
	"slices"
	"strings"
)

// maxDistance is the largest edit distance at which a known name is
// suggested. With a larger one, suggestions would mislead more often than help.
const maxDistance = 3

// Closest returns the known name with the smallest edit distance (Levenshtein, in bytes) from name,
// regardless of case, or "" if none is within 3 and differs in less than the whole name.
func Closest(name string, known []string) string {
	best, bestDistance := "", maxDistance+1
	for _, candidate := range slices.Sorted(slices.Values(known)) {
		distance := editDistance(strings.ToLower(name), strings.ToLower(candidate))
		if distance < bestDistance && distance < max(len(name), len(candidate)) {
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
