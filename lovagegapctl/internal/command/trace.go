package command

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxLogLineBytes = 1 << 20
)

// errRequestNotFound means that no line of the logs tells of the request.
var errRequestNotFound = errors.New("no line of the logs names the request; routine requests are only sampled")

// traceCommand merges saved logs of several daemons.
type traceCommand struct {
	Request string        `long:"request" short:"r" description:"only the lines of this request, and what the daemons that served it believed around it"`
	Window  time.Duration `long:"window" default:"2s" description:"how long before and after a request other lines of its daemons are shown"`
	Files   struct {
		Names []string `positional-arg-name:"FILE" description:"logs of daemons; - for standard input"`
	} `positional-args:"yes"`
}

// logLine is a line of a daemon's log.
type logLine struct {
	at     time.Time
	daemon string
	fields map[string]any
}

func (c *traceCommand) run(_ context.Context, s *session) error {
	if len(c.Files.Names) == 0 {
		return errors.Mark(errors.New("name at least one log file"), errUsage)
	}
	var lines []logLine
	for _, name := range c.Files.Names {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	if c.Request != "" {
		if lines = c.filterRequest(lines); len(lines) == 0 {
			return errRequestNotFound
		}
	}
	fields := make([]map[string]any, len(lines))
	for i, line := range lines {
		fields[i] = line.fields
	}
	return s.print(fields, func(w io.Writer) {
		for _, line := range lines {
			line.write(w)
		}
	})
}

// filterRequest keeps the lines of the request, and the lines about no request that
// its daemons wrote near it.
func (c *traceCommand) filterRequest(lines []logLine) []logLine {
	seen := make(map[string][]time.Time)
	for _, line := range lines {
		if line.fields["request"] == c.Request {
			seen[line.daemon] = append(seen[line.daemon], line.at)
		}
	}
	return slices.DeleteFunc(lines, func(line logLine) bool {
		if request, about := line.fields["request"]; about {
			return request != c.Request
		}
		return !slices.ContainsFunc(seen[line.daemon], func(at time.Time) bool {
			return line.at.Sub(at).Abs() <= c.Window
		})
	})
}

func readLog(name string) ([]logLine, error) {
	file := os.Stdin
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer opened.Close()
		file = opened
	}
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if line, ok := parseLogLine(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), name)
}

// parseLogLine reads a line. What stands before the JSON object, such as a prefix
// of a log collector, is skipped.
func parseLogLine(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var line logLine
	if json.Unmarshal([]byte(text[start:]), &line.fields) != nil {
		return logLine{}, false
	}
	at, _ := line.fields["ts"].(string)
	line.daemon, _ = line.fields["daemon"].(string)
	var err error
	line.at, err = time.Parse(time.RFC3339, at)
	return line, err == nil
}

// write prints a line for people: time, daemon, part, message, the other fields,
// and the exchanges of a request below it.
func (l *logLine) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s %s %v: %v", l.at.Format("15:04:05.000"), l.daemon, l.fields["logger"], l.fields["msg"])
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		switch name {
		case "ts", "daemon", "logger", "msg", "level", "exchanges":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(w, " %s=%s", name, replaceControlCharacters(fmt.Sprint(l.fields[name])))
	}
	_, _ = fmt.Fprintln(w)
	exchanges, _ := l.fields["exchanges"].([]any)
	for _, exchange := range exchanges {
		e, _ := exchange.(map[string]any)
		_, _ = fmt.Fprintf(w, "    +%v %v to %v of %v: %v", e["at"], e["purpose"], e["replica"], e["service"], e["result"])
		if took := e["took"]; took != nil {
			_, _ = fmt.Fprintf(w, " after %v", took)
		}
		_, _ = fmt.Fprintf(w, " (unanswered there: %v, store known %v ago)\n", e["inFlight"], e["listedAgo"])
	}
}
