package command

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/lovagegap/lovagegap/core/settings"
)

// keysCommand lists the keys of the settings, from the table by which trees are checked.
type keysCommand struct{}

// keyOutput is the JSON output of one key.
type keyOutput struct {
	Key     string          `json:"key"`
	Levels  []string        `json:"levels"`
	Allowed string          `json:"allowed"`
	Default json.RawMessage `json:"default"`
	Help    string          `json:"help"`
}

func (*keysCommand) run(_ context.Context, s *session) error {
	var list []keyOutput
	for _, k := range settings.Keys() {
		output := keyOutput{Key: k.Name(), Allowed: k.AllowedValues(), Default: k.Default(), Help: k.Help()}
		for _, l := range k.Levels() {
			output.Levels = append(output.Levels, l.String())
		}
		list = append(list, output)
	}
	return s.print(list, func(w io.Writer) {
		writeRow(w, "KEY", "DEFAULT", "LEVELS", "ALLOWED", "MEANING")
		for _, k := range list {
			writeRow(w, k.Key, formatScalar(k.Default), strings.Join(k.Levels, ", "), k.Allowed, k.Help)
		}
	})
}
