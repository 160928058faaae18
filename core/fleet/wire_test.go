package fleet

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sampleMessages returns messages of all kinds.
func sampleMessages() []Message {
	m := NewMember("10.0.0.1:7200", "10.0.0.1:80", "ikeja", "west", 7).WithState(Alive)
	digests := NewSummary(1, 2, NewSettingsVersion(3, 4), 0.5)
	rows := []Record{NewRecord("cold", "10.0.0.9:80", 3, []byte{1}, 60000)}
	return []Message{
		NewHello(m, m.WithState(Dead), digests), NewHello(m, Member{}, digests),
		NewPing(9, digests), NewAck(9, digests), NewProbe("b:1"), NewProbeResult("b:1"),
		NewMembers([]Member{m}), NewTableDigests([bucketCount]uint64{5: 1}), NewTableRows(3, []Member{m}),
		NewRecords(rows), NewRecordDigests([bucketCount]uint64{6: 1}), NewRecordRows(1, rows),
	}
}

// Guards against fields that are lost or changed between the encoded form and the
// message.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	from := NewMember("a:1", "a:2", "ikeja", "west", 7)
	for _, message := range sampleMessages() {
		t.Run(string(message.Kind()), func(t *testing.T) {
			data, err := Encode(from, message)
			require.NoError(t, err)
			e, err := DecodeEnvelope(data)
			require.NoError(t, err)
			assert.Equal(t, from.ID(), e.From())
			assert.Equal(t, uint64(7), e.Incarnation())
			decoded, err := Decode(e)
			require.NoError(t, err)
			assert.Equal(t, message, decoded)
		})
	}
}

// Guards against values that reach the state machine although no correct peer sends
// them.
func TestDecodeRejectsMalformedMessages(t *testing.T) {
	envelope := func(change func(*WireEnvelope), body any) []byte {
		encoded, err := cbor.Marshal(body)
		require.NoError(t, err)
		wire := WireEnvelope{Version: ProtocolVersion, Kind: "members", From: "a:1", Incarnation: 1, Body: encoded}
		change(&wire)
		data, err := cbor.Marshal(wire)
		require.NoError(t, err)
		return data
	}
	unchanged := func(*WireEnvelope) {}
	kind := func(k Kind) func(*WireEnvelope) { return func(w *WireEnvelope) { w.Kind = string(k) } }
	member := func(change func(*WireMember)) WireMessage {
		m := WireMember{ID: "b:1", State: uint8(Alive), Incarnation: 1}
		change(&m)
		return WireMessage{Members: []WireMember{m}}
	}
	long := string(make([]byte, maxTextBytes+1))
	cases := []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, ErrMalformed},
		{"not CBOR", []byte{0xff, 0x00}, ErrMalformed},
		{"too large", make([]byte, MaxMessageBytes+1), ErrMalformed},
		{"other version", envelope(func(w *WireEnvelope) { w.Version = 2 }, WireMessage{}), ErrVersion},
		{"no sender", envelope(func(w *WireEnvelope) { w.From = "" }, WireMessage{}), ErrMalformed},
		{"unknown kind", envelope(kind("relay"), WireMessage{}), ErrMalformed},
		{"state zero", envelope(unchanged, member(func(m *WireMember) { m.State = 0 })), ErrMalformed},
		{"state unknown", envelope(unchanged, member(func(m *WireMember) { m.State = 99 })), ErrMalformed},
		{"no id", envelope(unchanged, member(func(m *WireMember) { m.ID = "" })), ErrMalformed},
		{"long name", envelope(unchanged, member(func(m *WireMember) { m.Region = long })), ErrMalformed},
		{"incarnation overflow", envelope(unchanged, member(func(m *WireMember) { m.Incarnation = 1 << 63 })), ErrMalformed},
		{"too many rows", envelope(unchanged, WireMessage{Members: make([]WireMember, maxRowsPerMessage+1)}), ErrMalformed},
		{"ping without summary", envelope(kind(KindPing), WireMessage{}), ErrMalformed},
		{"hello without record", envelope(kind(KindHello), WireMessage{}), ErrMalformed},
		{"too few buckets", envelope(kind(KindTableDigests), WireMessage{BucketDigests: make([]uint64, 3)}), ErrMalformed},
		{"large record", envelope(kind(KindRecords), WireMessage{
			Records: []WireRecord{{Kind: "k", Body: make([]byte, MaxRecordBodyBytes+1)}},
		}), ErrMalformed},
		{"record lifetime out of range", envelope(kind(KindRecords), WireMessage{
			Records: []WireRecord{{Kind: "k", Lifetime: 1e300}},
		}), ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, err := DecodeEnvelope(c.data)
			if err == nil {
				_, err = Decode(e)
			}
			assert.ErrorIs(t, err, c.want)
		})
	}
}

// Guards against a peer that crashes a daemon with arbitrary bytes: decoding returns
// an error or a message that can be encoded again.
func FuzzDecode(f *testing.F) {
	from := NewMember("a:1", "a:2", "ikeja", "west", 7)
	for _, message := range sampleMessages() {
		data, err := Encode(from, message)
		require.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := DecodeEnvelope(data)
		if err != nil {
			return
		}
		message, err := Decode(e)
		if err != nil {
			assert.ErrorIs(t, err, ErrMalformed)
			return
		}
		_, err = Encode(from, message)
		assert.NoError(t, err)
	})
}
