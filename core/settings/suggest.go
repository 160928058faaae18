package settings

import "strings"

// maxQuotedBytes is the maximum length of a name or value quoted in a problem, so
// that reports stay readable and small.
const maxQuotedBytes = 64

// truncate shortens text to maxQuotedBytes, followed by an ellipsis.
func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "…"
}

// didYouMean returns a suggestion of the nearest known name, or "" if none is near.
func didYouMean(name string, known []string) string {
	if near, ok := NearestName(name, known); ok {
		return ", did you mean " + quoteJSON(near) + "?"
	}
	return ""
}

// NearestName returns the known name with the smallest edit distance to name,
// ignoring case. It returns false if the distance to each is half of the length of
// the longer name or more.
func NearestName(name string, known []string) (string, bool) {
	if len(name) > maxQuotedBytes {
		return "", false
	}
	best, bestDistance := "", maxQuotedBytes
	for _, k := range known {
		if 2*abs(len(name)-len(k)) >= max(len(name), len(k)) {
			continue // the edit distance is at least the difference in length
		}
		d := editDistance(strings.ToLower(name), strings.ToLower(k))
		if d < bestDistance && 2*d < max(len(name), len(k)) {
			best, bestDistance = k, d
		}
	}
	return best, best != ""
}

func abs(n int) int { return max(n, -n) }

// editDistance returns the Levenshtein distance in bytes.
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
