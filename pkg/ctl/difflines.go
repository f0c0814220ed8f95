package ctl

// maxDiffCells is the maximum size of the table from which a diff is computed.
// Beyond it, all lines of the differing part are shown as removed and added.
const maxDiffCells = 4 << 20

// diffLines returns the lines that differ, each prefixed with "-" or "+".
func diffLines(before, after []string) []string {
	for len(before) > 0 && len(after) > 0 && before[0] == after[0] {
		before, after = before[1:], after[1:]
	}
	for len(before) > 0 && len(after) > 0 && before[len(before)-1] == after[len(after)-1] {
		before, after = before[:len(before)-1], after[:len(after)-1]
	}
	if len(before)*len(after) > maxDiffCells {
		return append(prefixLines("-", before), prefixLines("+", after)...)
	}
	return walkDiff(before, after, lcsLengths(before, after))
}

// lcsLengths returns a table whose cell [i][j] is the length of the longest
// common subsequence of before[i:] and after[j:].
func lcsLengths(before, after []string) [][]int {
	lengths := make([][]int, len(before)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			if before[i] == after[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}

// walkDiff follows a longest common subsequence and returns the other lines as
// removed or added.
func walkDiff(before, after []string, lengths [][]int) []string {
	var changes []string
	i, j := 0, 0
	for i < len(before) && j < len(after) {
		switch {
		case before[i] == after[j]:
			i, j = i+1, j+1
		case lengths[i+1][j] >= lengths[i][j+1]:
			changes = append(changes, "-"+before[i])
			i++
		default:
			changes = append(changes, "+"+after[j])
			j++
		}
	}
	changes = append(changes, prefixLines("-", before[i:])...)
	return append(changes, prefixLines("+", after[j:])...)
}

// prefixLines returns the lines, each preceded by prefix.
func prefixLines(prefix string, lines []string) []string {
	out := make([]string, len(lines))
	for i, line := range lines {
		out[i] = prefix + line
	}
	return out
}
