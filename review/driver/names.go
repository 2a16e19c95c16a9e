package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed names.json
var namesFile []byte

// names holds the platform's header, path and field names, which Go files outside platform/ may
// not spell.
var names = loadNames()

func loadNames() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err) // the file is part of the program
	}
	return out
}

// name returns the platform's name for a key of names.json.
func name(key string) string {
	v, ok := names[key]
	if !ok {
		panic(fmt.Sprintf("names.json lacks %q", key))
	}
	return v
}
