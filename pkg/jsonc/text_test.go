package jsonc

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"amaranthplank.example/amaranthplank/pkg/fault"
)

type sample struct {
	Listen struct {
		Port int `json:"port"`
	} `json:"listen"`
}

func TestDecodeNamesTheLine(t *testing.T) {
	cases := map[string]struct {
		source string
		line   int
		field  string
	}{
		"unknown field": {"{\n// first\n\"listen\": {\n\"prot\": 1\n}}", 4, "listen.prot"},
		"wrong type":    {"{\n\n\"listen\": {\"port\": \"x\"}}", 3, "listen.port"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text, err := Parse([]byte(c.source))
			must.NoError(t, err)
			err = text.Decode(&sample{})
			must.StrContains(t, err.Error(), fmt.Sprintf("line %d: %s ", c.line, c.field))
			must.Eq(t, fault.Invalid, fault.KindOf(err))
		})
	}
}

func TestLineFindsTheNearestValue(t *testing.T) {
	text, err := Parse([]byte("{\n\"listen\": {\n\"port\": 1}}"))
	must.NoError(t, err)
	must.Eq(t, 3, text.Line("/listen/port"))
	must.Eq(t, 2, text.Line("/listen/absent"))
	must.Eq(t, 1, text.Line("/absent"))
}
