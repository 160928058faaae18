package command

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/lovagegap/lovagegap/core/settings"
)

// keys explains the keys of the settings, from the table that checks them.
type keys struct{}

type keyReply struct {
	Key     string          `json:"key"`
	Levels  []string        `json:"levels"`
	Allowed string          `json:"allowed"`
	Default json.RawMessage `json:"default"`
	Help    string          `json:"help"`
}

func (*keys) run(_ context.Context, s *session) error {
	var list []keyReply
	for _, k := range settings.Keys() {
		reply := keyReply{Key: k.Name(), Allowed: k.AllowedValues(), Default: k.Default(), Help: k.Help()}
		for _, l := range k.Levels() {
			reply.Levels = append(reply.Levels, l.String())
		}
		list = append(list, reply)
	}
	return s.print(list, func(w io.Writer) {
		row(w, "KEY", "DEFAULT", "LEVELS", "ALLOWED", "MEANING")
		for _, k := range list {
			row(w, k.Key, scalar(k.Default), strings.Join(k.Levels, ", "), k.Allowed, k.Help)
		}
	})
}
