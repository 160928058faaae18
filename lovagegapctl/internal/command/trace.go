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

// maxLogLineBytes limits a line of a log; a longer one is an error.
const maxLogLineBytes = 1 << 20

// errRequestNotFound means that no line of the logs belongs to the request.
var errRequestNotFound = errors.New("no log line of the request found; routine requests are only sampled")

// traceCommand merges log files of daemons by time, optionally for one request, or counts
// the requests that were not served.
type traceCommand struct {
	Classes bool          `long:"classes" short:"c" description:"count the requests that were not served by what prevented it"`
	Request string        `long:"request" short:"r" description:"show only the lines of this request, and lines of its daemons that concern no request within --window of it"`
	Window  time.Duration `long:"window" default:"2s" description:"with --request: time before and after its lines in which lines that concern no request are shown"`
	Files   struct {
		Names []string `positional-arg-name:"FILE" description:"log files of daemons; - for standard input"`
	} `positional-args:"yes"`
}

// logLine is a JSON line of the log of a daemon.
type logLine struct {
	at     time.Time
	daemon string
	fields map[string]any
}

func (c *traceCommand) run(_ context.Context, s *session) error {
	if len(c.Files.Names) == 0 {
		return errors.Mark(errors.New("trace requires at least one log file"), errUsage)
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
	if c.Classes {
		classes := unservedClasses(lines)
		return s.print(classes, func(w io.Writer) { writeClasses(w, classes) })
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

// filterRequest keeps the lines of the request, and the lines without a request that a
// daemon logged within the window of one of its lines of the request. It changes lines.
func (c *traceCommand) filterRequest(lines []logLine) []logLine {
	requestTimes := make(map[string][]time.Time) // key: id of a daemon
	for _, line := range lines {
		if line.fields["request"] == c.Request {
			requestTimes[line.daemon] = append(requestTimes[line.daemon], line.at)
		}
	}
	return slices.DeleteFunc(lines, func(line logLine) bool {
		if request, about := line.fields["request"]; about {
			return request != c.Request
		}
		return !slices.ContainsFunc(requestTimes[line.daemon], func(at time.Time) bool {
			return line.at.Sub(at).Abs() <= c.Window
		})
	})
}

// readLog returns the lines of a log file that are JSON objects with a time; others are
// skipped.
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

// parseLogLine parses a line and reports whether it is a JSON object with a time. It
// skips text before the object, such as the prefix of a log collector.
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

// write prints a line as text: time, daemon, logger, message and the other fields, then
// each exchange of a request on a line of its own.
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
		_, _ = fmt.Fprintf(w, " (in flight there: %v, store data %v old)\n", e["inFlight"], e["listedAgo"])
	}
}
