package platform

// wireValue is the reply of the platform about a key; JSON has the value as base64.
type wireValue struct {
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

func (w wireValue) value() Value { return NewValue(w.Value, w.Revision) }

// wireVM is an element of the list of VMs.
type wireVM struct {
	Address    string `json:"address"`
	Peer       string `json:"peer"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	Role       string `json:"role"`
	User       string `json:"user"`
	Service    string `json:"service"`
	State      string `json:"state"`
}

func (w wireVM) vm() VM {
	return VM{
		address: w.Address, peer: w.Peer, dataCentre: w.DataCentre, region: w.Region,
		role: w.Role, user: w.User, service: w.Service, leaving: w.State == "leaving",
	}
}
