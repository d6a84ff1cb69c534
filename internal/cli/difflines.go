package cli

import (
	"strings"
)

// diffLines returns the removed lines with "-" and the added lines with "+", in
// file order. Unchanged lines are omitted.
func diffLines(before, after []byte) []string {
	a, b := splitLines(before), splitLines(after)
	common := commonLengths(a, b)
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

// commonLengths returns a table with the length of the longest common
// subsequence of a[i:] and b[j:] at [i][j]. The table is small, since files are
// short.
func commonLengths(a, b []string) [][]int32 {
	table := make([][]int32, len(a)+1)
	for i := range table {
		table[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}

func splitLines(text []byte) []string {
	if len(text) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}
