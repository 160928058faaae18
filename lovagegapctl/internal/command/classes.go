package command

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Classes of requests that were not served, by what prevented it.
const (
	classNoConfiguration = "no configuration"
	classNoReplica       = "no usable replica"
	classAdmission       = "refused by admission"
	classTooLate         = "too late on arrival"
	classBudget          = "retry budget empty"
	classQuarantined     = "quarantined"
	classWithheld        = "hedge withheld"
	classSilent          = "replicas silent"
	classShed            = "replicas shed"
	classFailed          = "replicas failed"
	classDisconnected    = "caller disconnected"
	classOther           = "other"
)

// classByReason is the class of a request whose reason says all. The reasons are those
// of the daemon's log.
var classByReason = map[string]string{
	"no configuration loaded yet":                       classNoConfiguration,
	"no replica of the service is available":            classNoReplica,
	"too few shards have an available replica":          classNoReplica,
	"backlog exceeds the admission limit":               classAdmission,
	"too little time left before the deadline":          classTooLate,
	"the retry budget is empty":                         classBudget,
	"the request is quarantined: it may crash replicas": classQuarantined,
}

// classByResult is the class of a request by how its exchanges with replicas ended. An
// abandoned exchange explains nothing: another one had ended the request before.
var classByResult = map[string]string{
	"unanswered": classSilent, "silent": classSilent,
	"shed":   classShed,
	"failed": classFailed, "foreign": classFailed, "not connected": classFailed, "lost": classFailed,
	"closed": classFailed, "garbled": classFailed,
}

// classifyUnserved returns the class of a line of a request that was not served, and
// false for any other line. What a daemon did not serve of another one's request is none:
// that one sends the shards itself.
func classifyUnserved(line logLine) (string, bool) {
	if line.fields["delegated"] == true {
		return "", false
	}
	switch line.fields["msg"] {
	case "caller disconnected":
		return classDisconnected, true
	case "request not served":
	default:
		return "", false
	}
	if reason, _ := line.fields["reason"].(string); classByReason[reason] != "" {
		return classByReason[reason], true
	}
	if class := withheldClass(line); class != "" {
		return class, true
	}
	return exchangesClass(line), true
}

// withheldClass returns the class of a request with a shard that got no hedge, or "".
func withheldClass(line logLine) string {
	hedges := objects(line.fields["withheldHedges"])
	switch {
	case len(hedges) == 0:
		return ""
	case slices.ContainsFunc(hedges, func(hedge map[string]any) bool { return hedge["reason"] == "budget" }):
		return classBudget
	default:
		return classWithheld
	}
}

// exchangesClass returns the class of the most exchanges of a request. Of two classes
// with as many it returns the one that took the caller's time: silent, then shed.
func exchangesClass(line logLine) string {
	counts := make(map[string]int)
	for _, exchange := range objects(line.fields["exchanges"]) {
		result, _ := exchange["result"].(string)
		counts[classByResult[result]]++
	}
	class, most := classOther, 0
	for _, candidate := range []string{classSilent, classShed, classFailed} {
		if counts[candidate] > most {
			class, most = candidate, counts[candidate]
		}
	}
	return class
}

// objects returns the elements of a JSON array that are objects.
func objects(value any) []map[string]any {
	list, _ := value.([]any)
	found := make([]map[string]any, 0, len(list))
	for _, element := range list {
		if object, ok := element.(map[string]any); ok {
			found = append(found, object)
		}
	}
	return found
}

// unservedClass is a row of the table of requests that were not served.
type unservedClass struct {
	Class    string         `json:"class"`
	Requests int            `json:"requests"`
	Statuses map[string]int `json:"statuses"`
	Example  string         `json:"example"` // id of the first request
}

// unservedClasses counts the requests that were not served by class, the most first.
// Each line counts: every try of a caller has its own id, and is finished once.
func unservedClasses(lines []logLine) []unservedClass {
	var found []unservedClass
	for _, line := range lines {
		name, unserved := classifyUnserved(line)
		if !unserved {
			continue
		}
		i := slices.IndexFunc(found, func(c unservedClass) bool { return c.Class == name })
		if i < 0 {
			i = len(found)
			request, _ := line.fields["request"].(string)
			found = append(found, unservedClass{Class: name, Statuses: make(map[string]int), Example: request})
		}
		found[i].Requests++
		found[i].Statuses[fmt.Sprint(line.fields["status"])]++
	}
	slices.SortStableFunc(found, func(a, b unservedClass) int { return cmp.Compare(b.Requests, a.Requests) })
	return found
}

func writeClasses(w io.Writer, classes []unservedClass) {
	_, _ = fmt.Fprintf(w, "%-22s %8s  %-16s %s\n", "class", "requests", "statuses", "first request")
	for _, c := range classes {
		var statuses []string
		for status, count := range c.Statuses {
			statuses = append(statuses, fmt.Sprintf("%s:%d", status, count))
		}
		slices.Sort(statuses)
		_, _ = fmt.Fprintf(w, "%-22s %8d  %-16s %s\n", c.Class, c.Requests,
			replaceControlCharacters(strings.Join(statuses, " ")), replaceControlCharacters(c.Example))
	}
}
