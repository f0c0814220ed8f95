package usage

import (
	"amaranthplank.example/amaranthplank/pkg/fault"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// wireLine is an encoded Line, with indexes into a name table in place of names.
// It is encoded as a CBOR array to save space.
type wireLine struct {
	_struct struct{} `codec:",toarray"` //nolint:unused // The codec reads the tag.

	Workspace int
	Model     int
	Service   int
	// Used is UsedIn relative to the base timestamp that the lines were packed
	// with.
	Used         int64
	Requests     uint64
	PromptTokens uint64
	OutputTokens uint64
}

// wireBatch is an encoded Batch (in the store) or Chunk (in messages). For a chunk,
// Number is its From; only chunks have To.
type wireBatch struct {
	Number uint64     `codec:"n,omitempty"`
	To     uint64     `codec:"t,omitempty"`
	Start  Timestamp  `codec:"s,omitempty"`
	End    Timestamp  `codec:"e"`
	Closed bool       `codec:"c,omitempty"`
	Lines  []wireLine `codec:"l"`
}

// wireWatermark is an encoded watermark.
type wireWatermark struct {
	_struct struct{} `codec:",toarray"` //nolint:unused // The codec reads the tag.

	Host        ident.Host
	Incarnation ident.Incarnation
	Number      uint64
}

// nameTable assigns indexes to the names in an encoded value. Index zero is the
// empty name.
type nameTable struct {
	list  []string
	index map[string]int
}

// newNameTable returns a table that contains only the empty name.
func newNameTable() *nameTable { return &nameTable{list: []string{""}, index: map[string]int{"": 0}} }

// intern returns the index of a name, adding the name if it is new.
func (n *nameTable) intern(name string) int {
	if i, ok := n.index[name]; ok {
		return i
	}
	n.index[name] = len(n.list)
	n.list = append(n.list, name)
	return len(n.list) - 1
}

// packLines encodes lines, adding their names to the table.
func (n *nameTable) packLines(lines []Line, base Timestamp) []wireLine {
	packed := make([]wireLine, len(lines))
	for i, line := range lines {
		packed[i] = wireLine{
			Workspace: n.intern(string(line.Workspace)), Model: n.intern(string(line.Model)), Service: n.intern(string(line.Service)),
			Used: int64(line.UsedIn - base), Requests: line.Requests, PromptTokens: line.PromptTokens, OutputTokens: line.OutputTokens,
		}
	}
	return packed
}

// errMalformed reports a stored value or message that can't be decoded, or a stored
// value that is missing.
var errMalformed = fault.New(fault.Invalid, "usage data is malformed", "run the same version on every host")

// unpackLines decodes lines, taking their names from the table.
func unpackLines(table []string, packed []wireLine, base Timestamp) ([]Line, error) {
	lines := make([]Line, len(packed))
	for i, p := range packed {
		for _, index := range []int{p.Workspace, p.Model, p.Service} {
			if index < 0 || index >= len(table) {
				return nil, errMalformed
			}
		}
		lines[i] = Line{
			lineKey: lineKey{
				Workspace: ident.Workspace(table[p.Workspace]), Model: ident.Model(table[p.Model]),
				Service: ident.Service(table[p.Service]), UsedIn: base + Timestamp(p.Used),
			},
			counts: counts{Requests: p.Requests, PromptTokens: p.PromptTokens, OutputTokens: p.OutputTokens},
		}
	}
	return lines, nil
}

// packWatermarks encodes watermarks.
func packWatermarks(watermarks map[SourceID]uint64) []wireWatermark {
	packed := make([]wireWatermark, 0, len(watermarks))
	for source, number := range watermarks {
		packed = append(packed, wireWatermark{Host: source.Host, Incarnation: source.Incarnation, Number: number})
	}
	return packed
}

// unpackWatermarks decodes watermarks.
func unpackWatermarks(packed []wireWatermark) map[SourceID]uint64 {
	watermarks := make(map[SourceID]uint64, len(packed))
	for _, p := range packed {
		watermarks[SourceID{Host: p.Host, Incarnation: p.Incarnation}] = p.Number
	}
	return watermarks
}

// encode returns a value as CBOR.
func encode(value any) ([]byte, error) { return peer.Encode(value) }
