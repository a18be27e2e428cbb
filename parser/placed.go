package parser

import (
	"fmt"
	"maps"
	"slices"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// PlacedSettings are the settings of a placed process that the platform's description does
// not have. They are the same for all processes of a deployment.
type PlacedSettings struct {
	// Engines holds what is known of the engines of a service beyond what is declared.
	Engines map[identifier.Service]EngineSettings
}

// EngineSettings describe the engines of one service.
type EngineSettings struct {
	// PrefixTokens is how many tokens of the beginnings of prompts each engine keeps after
	// their requests. Zero means that it keeps none.
	PrefixTokens int
}

// ParsePlacedSettings decodes and checks settings in TOML. The error lists every fault.
func ParsePlacedSettings(file string, data []byte) (PlacedSettings, error) {
	var s PlacedSettings
	var faults explainer.Faults
	doc := DecodeWithFaults(file, data, &s, &faults)
	for _, name := range slices.Sorted(maps.Keys(s.Engines)) {
		if tokens := s.Engines[name].PrefixTokens; tokens < 0 {
			path := Path("Engines").Key(string(name)).Key("PrefixTokens")
			faults.Add(doc.NewFault(path, fmt.Sprintf("%d tokens are negative", tokens), "write the tokens that an engine keeps, or 0 for none"))
		}
	}
	return s, faults.Err()
}
