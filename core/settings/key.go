package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Kind is the type of a key's value.
type Kind uint8

// Kinds of values.
const (
	KindBool Kind = iota
	KindInteger
	KindNumber
	KindDuration
	KindChoice
	KindExpression
)

var kindNames = [...]string{"bool", "integer", "number", "duration", "choice", "expression"}

// String returns the name of the kind, for example "duration".
func (k Kind) String() string { return kindNames[k] }

// Key describes one setting: its name, type, allowed values, default and the
// levels at which it may be set.
type Key struct {
	name        string
	kind        Kind
	min         float64 // in milliseconds for KindDuration
	max         float64 // in milliseconds for KindDuration
	choices     []string
	defaultJSON string
	levels      levelSet
	help        string
}

// Keys returns every key, in the order of the operators' documentation. The
// caller owns the slice.
func Keys() []Key { return slices.Clone(keyTable[:]) }

// Lookup returns the key with the name. It returns false if there is none or it
// must not be set at the level.
func Lookup(level Level, name string) (Key, bool) {
	id, ok := findKey(level, name)
	if !ok || !keyTable[id].AllowedAt(level) {
		return Key{}, false
	}
	return keyTable[id], true
}

// findKey returns the key with the name, also if it is not allowed at the level.
// The keys of tenants and data centres are found only at their own level.
func findKey(level Level, name string) (keyID, bool) {
	switch level {
	case LevelTenant:
		return keyTenantWeight, name == keyTable[keyTenantWeight].name
	case LevelDataCentre:
		return keyDataCentreOut, name == keyTable[keyDataCentreOut].name
	}
	id, ok := keysByName[name]
	return id, ok
}

// keysByName maps the full names of the inherited keys to their ids,
// namesByGroup maps a group such as "hedge" to the names within it, and
// topLevelNames lists the groups and ungrouped keys of a settings object.
var keysByName, namesByGroup, topLevelNames = indexKeys()

func indexKeys() (map[string]keyID, map[string][]string, []string) {
	byName := make(map[string]keyID, levelKeyCount)
	byGroup := make(map[string][]string)
	var topLevel []string
	for id := range levelKeyCount {
		name := keyTable[id].name
		byName[name] = id
		group, rest, grouped := strings.Cut(name, ".")
		if !slices.Contains(topLevel, group) {
			topLevel = append(topLevel, group)
		}
		if grouped {
			byGroup[group] = append(byGroup[group], rest)
		}
	}
	return byName, byGroup, topLevel
}

// Name returns the full name, for example "hedge.ratio".
func (k Key) Name() string { return k.name }

// Kind returns the type of the value.
func (k Key) Kind() Kind { return k.kind }

// Default returns, as JSON, the value in force where no level sets the key.
func (k Key) Default() json.RawMessage { return json.RawMessage(k.defaultJSON) }

// Help returns a phrase for operators that says what the key controls.
func (k Key) Help() string { return k.help }

// AllowedAt reports whether the key may be set at a level.
func (k Key) AllowedAt(level Level) bool { return k.levels&(1<<level) != 0 }

// Levels returns the levels at which the key may be set, the outermost first.
func (k Key) Levels() []Level {
	var list []Level
	for l := LevelFleet; l <= LevelDataCentre; l++ {
		if k.AllowedAt(l) {
			list = append(list, l)
		}
	}
	return list
}

// joinedLevels returns the names of the levels, separated by commas.
func (k Key) joinedLevels() string {
	var names []string
	for _, l := range k.Levels() {
		names = append(names, l.String())
	}
	return strings.Join(names, ", ")
}

// AllowedValues returns a description of the values that the key accepts, for
// example "a number from 0 to 1".
func (k Key) AllowedValues() string {
	switch k.kind {
	case KindBool:
		return "true or false"
	case KindInteger:
		return fmt.Sprintf("a whole number from %s to %s", formatNumber(k.min), formatNumber(k.max))
	case KindNumber:
		return fmt.Sprintf("a number from %s to %s", formatNumber(k.min), formatNumber(k.max))
	case KindDuration:
		return fmt.Sprintf("a duration from %s to %s, with its unit", formatMillis(k.min), formatMillis(k.max))
	case KindChoice:
		return strings.Join(k.choices, " or ")
	default:
		return goodAnswerAllowedText
	}
}

// JSONFromText converts a value typed on a command line into JSON: bools and
// numbers as they are, everything else as a string. The value is not checked
// against the key.
func (k Key) JSONFromText(text string) json.RawMessage {
	switch k.kind {
	case KindBool, KindInteger, KindNumber:
		if json.Valid([]byte(text)) {
			return json.RawMessage(text)
		}
	}
	return json.RawMessage(quoteJSON(text))
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// formatMillis formats milliseconds in the largest unit that gives a whole number.
func formatMillis(ms float64) string {
	d := clock.Millis(ms)
	switch {
	case d >= clock.Hour && math.Mod(ms, float64(clock.Hour)) == 0:
		return formatNumber(ms/float64(clock.Hour)) + "h"
	case d >= clock.Minute && math.Mod(ms, float64(clock.Minute)) == 0:
		return formatNumber(ms/float64(clock.Minute)) + "m"
	case d >= clock.Second && math.Mod(ms, float64(clock.Second)) == 0:
		return formatNumber(ms/float64(clock.Second)) + "s"
	}
	return formatNumber(ms) + "ms"
}

// parsedValue is a checked value. Which fields are set depends on the kind of
// the key.
type parsedValue struct {
	number     float64     // KindInteger, KindNumber; milliseconds for KindDuration
	text       string      // KindChoice, KindExpression
	boolean    bool        // KindBool
	goodAnswer *GoodAnswer // KindExpression, once compiled
}

// parseValue checks n against the key. The second result describes the problem,
// or is "" if there is none. An expression is only checked to be a string; the
// caller compiles it.
func (k Key) parseValue(n *node) (parsedValue, string) {
	switch k.kind {
	case KindBool:
		if n.kind != boolNode {
			return parsedValue{}, "is " + n.describe() + ", not true or false"
		}
		return parsedValue{boolean: n.text == "true"}, ""
	case KindInteger, KindNumber:
		return k.parseNumber(n)
	case KindDuration:
		return k.parseDuration(n)
	}
	if n.kind != stringNode {
		return parsedValue{}, "is " + n.describe() + ", not a string"
	}
	if k.kind == KindChoice && !slices.Contains(k.choices, n.text) {
		return parsedValue{}, quoteJSON(truncate(n.text)) + " is not known" + didYouMean(n.text, k.choices)
	}
	return parsedValue{text: n.text}, ""
}

func (k Key) parseNumber(n *node) (parsedValue, string) {
	if n.kind != numberNode {
		return parsedValue{}, "is " + n.describe() + ", not a number"
	}
	v, err := strconv.ParseFloat(n.text, 64)
	if err != nil || v < k.min || v > k.max {
		return parsedValue{}, truncate(n.text) + " is out of range"
	}
	if k.kind == KindInteger && v != math.Trunc(v) {
		return parsedValue{}, truncate(n.text) + " is not a whole number"
	}
	return parsedValue{number: v}, ""
}

func (k Key) parseDuration(n *node) (parsedValue, string) {
	if n.kind == numberNode {
		return parsedValue{}, truncate(n.text) + " has no unit"
	}
	if n.kind != stringNode {
		return parsedValue{}, "is " + n.describe() + ", not a duration"
	}
	if _, err := strconv.ParseFloat(n.text, 64); err == nil {
		return parsedValue{}, quoteJSON(truncate(n.text)) + " has no unit"
	}
	d, err := clock.Parse(n.text)
	if err != nil {
		return parsedValue{}, quoteJSON(truncate(n.text)) + " is not a duration"
	}
	if d < clock.Millis(k.min) || d > clock.Millis(k.max) {
		return parsedValue{}, quoteJSON(truncate(n.text)) + " is out of range"
	}
	return parsedValue{number: float64(d)}, ""
}
