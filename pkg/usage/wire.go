package usage

import (
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// wireLine is a line whose names stand in a table. It is an array in CBOR, to
// be short.
type wireLine struct {
	_struct struct{} `codec:",toarray"` //nolint:unused // The codec reads the tag.

	Workspace int
	Model     int
	Service   int
	// Used is UsedIn after the record's base.
	Used         int64
	Requests     uint64
	PromptTokens uint64
	OutputTokens uint64
}

// wireBatch is a Batch or a Chunk in the store and in messages.
type wireBatch struct {
	Number uint64     `codec:"n,omitempty"`
	To     uint64     `codec:"t,omitempty"`
	Start  Stamp      `codec:"s,omitempty"`
	End    Stamp      `codec:"e"`
	Closed bool       `codec:"c,omitempty"`
	Lines  []wireLine `codec:"l"`
}

// wireMark is one watermark.
type wireMark struct {
	_struct struct{} `codec:",toarray"` //nolint:unused // The codec reads the tag.

	Host        ident.Host
	Incarnation ident.Incarnation
	Number      uint64
}

// names is the table of a record's names. Index zero is the empty name.
type names struct {
	list  []string
	index map[string]int
}

// newNames returns a table that holds the empty name.
func newNames() *names { return &names{list: []string{""}, index: map[string]int{"": 0}} }

// of returns the index of a name and adds it where it is new.
func (n *names) of(name string) int {
	if i, ok := n.index[name]; ok {
		return i
	}
	n.index[name] = len(n.list)
	n.list = append(n.list, name)
	return len(n.list) - 1
}

// pack returns lines with their names in the table.
func (n *names) pack(lines []Line, base Stamp) []wireLine {
	packed := make([]wireLine, len(lines))
	for i, line := range lines {
		packed[i] = wireLine{
			Workspace: n.of(string(line.Workspace)), Model: n.of(string(line.Model)), Service: n.of(string(line.Service)),
			Used: int64(line.UsedIn - base), Requests: line.Requests, PromptTokens: line.PromptTokens, OutputTokens: line.OutputTokens,
		}
	}
	return packed
}

// errMalformed says that a record can't be read.
var errMalformed = fault.New(fault.Invalid, "a usage record is malformed", "run the same version on every host")

// unpack returns lines with their names from the table.
func unpack(table []string, packed []wireLine, base Stamp) ([]Line, error) {
	lines := make([]Line, len(packed))
	for i, p := range packed {
		for _, index := range []int{p.Workspace, p.Model, p.Service} {
			if index < 0 || index >= len(table) {
				return nil, errMalformed
			}
		}
		lines[i] = Line{
			subject: subject{
				Workspace: ident.Workspace(table[p.Workspace]), Model: ident.Model(table[p.Model]),
				Service: ident.Service(table[p.Service]), UsedIn: base + Stamp(p.Used),
			},
			figures: figures{Requests: p.Requests, PromptTokens: p.PromptTokens, OutputTokens: p.OutputTokens},
		}
	}
	return lines, nil
}

// packMarks returns watermarks as a list.
func packMarks(marks map[SourceID]uint64) []wireMark {
	packed := make([]wireMark, 0, len(marks))
	for source, number := range marks {
		packed = append(packed, wireMark{Host: source.Host, Incarnation: source.Incarnation, Number: number})
	}
	return packed
}

// unpackMarks returns watermarks by source.
func unpackMarks(packed []wireMark) map[SourceID]uint64 {
	marks := make(map[SourceID]uint64, len(packed))
	for _, p := range packed {
		marks[SourceID{Host: p.Host, Incarnation: p.Incarnation}] = p.Number
	}
	return marks
}

// encode returns a record as CBOR.
func encode(record any) ([]byte, error) { return peer.Encode(record) }
