package main

import (
	_ "embed"
	"encoding/json"
)

// wordsText holds the names of headers, fields, calls and keys on the platform's pages.
//
//go:embed words.json
var wordsText []byte

var words = readWords()

func readWords() map[string]string {
	var read map[string]string
	if err := json.Unmarshal(wordsText, &read); err != nil {
		panic(err)
	}
	return read
}

// word returns one of the platform's names. Those that the file lacks end the program.
func word(name string) string {
	text, ok := words[name]
	if !ok {
		panic("words.json has no " + name)
	}
	return text
}
