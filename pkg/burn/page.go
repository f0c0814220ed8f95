package burn

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/peer"
)

// keyPrefix is the key prefix of all pages in the store.
const keyPrefix external.Key = "burn/"

// pagePrefix returns the key prefix of all processes' pages of one hour.
func pagePrefix(start time.Time) external.Key {
	return keyPrefix + external.Key(start.UTC().Format("20060102T15")) + "/"
}

// pageKey returns the key of a process's page of one hour. No other process
// writes it.
func pageKey(start time.Time, host ident.Host, incarnation ident.Incarnation) external.Key {
	return pagePrefix(start) + external.Key(fmt.Sprintf("%s-%d", host, incarnation))
}

// row is the stored form of the counts of one slot and subject.
type row struct {
	Slot      int64
	Workspace ident.Workspace
	Route     ident.Route
	Counts    Counts
}

// encodePage encodes a page as rows in a fixed order.
func encodePage(slots Slots) ([]byte, error) {
	var rows []row
	for start, subjects := range slots {
		for subject, counts := range subjects {
			rows = append(rows, row{start, subject.Workspace, subject.Route, *counts})
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Route, b.Route))
	})
	return peer.EncodeCompact(rows)
}

// decodePage decodes a page.
func decodePage(value []byte) (Slots, error) {
	var rows []row
	if err := peer.Decode(value, &rows); err != nil {
		return nil, err
	}
	slots := make(Slots)
	for i := range rows {
		slots.add(time.Unix(rows[i].Slot, 0), Subject{rows[i].Workspace, rows[i].Route}, &rows[i].Counts)
	}
	return slots, nil
}
