package release

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/mirror"
)

// ErrMalformed reports a record that does not follow the format or exceeds one of its
// limits.
var ErrMalformed = errors.New("malformed release record")

const (
	maxCells   = 64
	maxDaemons = 1 << 16
)

// wireDirective is a directive in a record.
type wireDirective struct {
	Directive
	Number uint64         `cbor:"2,keyasint"` // of the revision
	Era    mirror.WireEra `cbor:"8,keyasint,omitzero"`
}

// wireReport is a report in a record. The names of routes are listed once.
type wireReport struct {
	Report
	Number uint64         `cbor:"3,keyasint"` // of the revision
	Era    mirror.WireEra `cbor:"12,keyasint,omitzero"`
	Routes []string       `cbor:"10,keyasint,omitempty"`
	Cells  []wireCell     `cbor:"11,keyasint,omitempty"`
}

// wireCell holds a cell. Latency begins with the first bucket that isn't empty.
type wireCell struct {
	_        struct{} `cbor:",toarray"`
	Route    int
	Replica  uint32
	Attempts uint32
	Failures uint32
	First    int
	Latency  []uint32
}

// EncodeReport returns the body of a record. If it would exceed the limit of records,
// the evidence of all routes is counted together.
func EncodeReport(report Report) []byte {
	body := encodeReport(report)
	if len(body) <= fleet.MaxRecordBodyBytes {
		return body
	}
	merged := make(Window)
	for _, cell := range report.Cells {
		merged.add("", Cell{CellKey: CellKey{Replica: cell.Replica}, Counts: cell.Counts})
	}
	report.Cells = merged[""]
	return encodeReport(report)
}

func encodeReport(report Report) []byte {
	wire := wireReport{Report: report, Number: report.Revision.Number(), Era: mirror.NewWireEra(report.Revision.Era())}
	indexes := make(map[string]int)
	for _, cell := range report.Cells {
		index, ok := indexes[cell.Route]
		if !ok {
			index = len(wire.Routes)
			indexes[cell.Route], wire.Routes = index, append(wire.Routes, cell.Route)
		}
		first := 0
		for first < len(cell.Latency) && cell.Latency[first] == 0 {
			first++
		}
		wire.Cells = append(wire.Cells, wireCell{
			Route: index, Replica: cell.Replica, Attempts: cell.Attempts, Failures: cell.Failures,
			First: first, Latency: cell.Latency[first:],
		})
	}
	body, _ := cbor.Marshal(wire)
	return body
}

// DecodeReport decodes a report. Errors wrap ErrMalformed.
func DecodeReport(body []byte) (Report, error) {
	var wire wireReport
	if err := cbor.Unmarshal(body, &wire); err != nil {
		return Report{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	report := wire.Report
	report.Revision = mirror.NewRevision(wire.Era.Era(), wire.Number)
	if report.Phase > Rejected || !(report.Final == "" || report.Final.Terminal()) || report.OldInFlight < 0 || report.Targets < 0 || len(wire.Cells) > maxCells {
		return Report{}, errors.Wrap(ErrMalformed, "report out of range")
	}
	for _, c := range wire.Cells {
		if c.Route < 0 || c.Route >= len(wire.Routes) || c.First < 0 || c.First > latencyBuckets || c.First+len(c.Latency) > latencyBuckets ||
			c.Failures > c.Attempts {
			return Report{}, errors.Wrap(ErrMalformed, "evidence out of range")
		}
		cell := Cell{CellKey: CellKey{Route: wire.Routes[c.Route], Replica: c.Replica}}
		cell.Attempts, cell.Failures = c.Attempts, c.Failures
		if len(c.Latency) > 0 {
			cell.Latency = append(make([]uint32, c.First), c.Latency...)
		}
		report.Cells = append(report.Cells, cell)
	}
	return report, nil
}

// EncodeDirective returns the body of a record.
func EncodeDirective(directive Directive) []byte {
	body, _ := cbor.Marshal(wireDirective{
		Directive: directive, Number: directive.Revision.Number(), Era: mirror.NewWireEra(directive.Revision.Era()),
	})
	return body
}

// DecodeDirective decodes a directive. Errors wrap ErrMalformed.
func DecodeDirective(body []byte) (Directive, error) {
	var wire wireDirective
	if err := cbor.Unmarshal(body, &wire); err != nil {
		return Directive{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	directive := wire.Directive
	directive.Revision = mirror.NewRevision(wire.Era.Era(), wire.Number)
	if directive.Phase > Rejected || !(directive.Share >= 0 && directive.Share <= 1) || !(directive.ElapsedMs >= 0) ||
		directive.Daemons < 0 || directive.Daemons > maxDaemons || directive.Target == "" {
		return Directive{}, errors.Wrap(ErrMalformed, "directive out of range")
	}
	return directive, nil
}
