package main

import (
	_ "embed"
	"encoding/json"
)

// wordsText holds the platform's names, which Go code outside of platform/ must not spell out.
//
//go:embed words.json
var wordsText []byte

// configuration is the operator's configuration.
//
//go:embed configuration.json
var configuration string

// words maps this program's names to the platform's.
var words = readWords()

// readWords reads the platform's names.
func readWords() (names map[string]string) {
	if err := json.Unmarshal(wordsText, &names); err != nil {
		panic(err)
	}
	return names
}

// word returns a name of the platform.
func word(name string) string {
	found, ok := words[name]
	if !ok {
		panic("no word for " + name)
	}
	return found
}
