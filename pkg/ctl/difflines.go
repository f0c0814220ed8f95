package ctl

// maxDiffCells bounds the table that a diff is worked out with. Beyond it the
// whole part that differs is shown as replaced.
const maxDiffCells = 4 << 20

// diffLines returns the lines that differ, each after "-" or "+".
func diffLines(before, after []string) []string {
	for len(before) > 0 && len(after) > 0 && before[0] == after[0] {
		before, after = before[1:], after[1:]
	}
	for len(before) > 0 && len(after) > 0 && before[len(before)-1] == after[len(after)-1] {
		before, after = before[:len(before)-1], after[:len(after)-1]
	}
	if len(before)*len(after) > maxDiffCells {
		return append(marked("-", before), marked("+", after)...)
	}
	return walkDiff(before, after, commonLengths(before, after))
}

// commonLengths returns the length of the longest common run of lines of every
// two ends of the texts.
func commonLengths(before, after []string) [][]int {
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

// walkDiff follows the longest common run and returns the lines beside it.
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
	changes = append(changes, marked("-", before[i:])...)
	return append(changes, marked("+", after[j:])...)
}

// marked returns the lines with a mark before each.
func marked(mark string, lines []string) []string {
	out := make([]string, len(lines))
	for i, line := range lines {
		out[i] = mark + line
	}
	return out
}
