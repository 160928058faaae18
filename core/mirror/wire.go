package mirror

// WireEra is an era as it is sent between daemons in CBOR. The fields are those of Era.
type WireEra struct {
	Stated   uint64 `cbor:"1,keyasint,omitempty"`
	Inferred uint64 `cbor:"2,keyasint,omitempty"`
}

// NewWireEra returns the wire form of an era.
func NewWireEra(era Era) WireEra { return WireEra{Stated: era.stated, Inferred: era.inferred} }

// Era returns the era.
func (w WireEra) Era() Era { return Era{stated: w.Stated, inferred: w.Inferred} }
