package daemon

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// ErrConfiguration means that the configuration file is unreadable or invalid.
var ErrConfiguration = errors.New("bad configuration")

// minPeerKeyBytes is the least length of a peer key. A shorter one could be
// guessed from a recorded handshake.
const minPeerKeyBytes = 16

// Configuration is what a process must know before it can reach the platform
// or its peers. Everything else comes from the settings tree.
type Configuration struct {
	name            string
	dataCentre      string
	region          string
	callerAddress   string
	operatorAddress string
	peerAddress     string
	platformURL     string
	seeds           []string
	peerKeys        [][]byte
	// drainMargin replaces the margin of a planned stop in tests; zero stands
	// for the default.
	drainMargin clock.Millis
}

type wireConfiguration struct {
	Name       string   `json:"name"`
	DataCentre string   `json:"dataCentre"`
	Region     string   `json:"region"`
	Callers    string   `json:"callers"`
	Operators  string   `json:"operators"`
	Peers      string   `json:"peers"`
	Platform   string   `json:"platform"`
	Seeds      []string `json:"seeds"`
	PeerKeys   []string `json:"peerKeys"`
}

// Load reads and checks a configuration file. It returns ErrConfiguration with
// every mistake.
func Load(path string) (Configuration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Configuration{}, errors.Mark(err, ErrConfiguration)
	}
	c, err := parseConfiguration(text)
	return c, errors.Wrap(err, path)
}

func parseConfiguration(text []byte) (Configuration, error) {
	var wire wireConfiguration
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return Configuration{}, errors.Mark(err, ErrConfiguration)
	}
	if mistakes := wire.mistakes(); len(mistakes) > 0 {
		return Configuration{}, errors.Wrap(ErrConfiguration, strings.Join(mistakes, "; "))
	}
	c := Configuration{
		name: wire.Name, dataCentre: wire.DataCentre, region: wire.Region, callerAddress: wire.Callers,
		operatorAddress: wire.Operators, peerAddress: wire.Peers, platformURL: wire.Platform, seeds: wire.Seeds,
	}
	for _, key := range wire.PeerKeys {
		c.peerKeys = append(c.peerKeys, []byte(key))
	}
	return c, nil
}

func (w wireConfiguration) mistakes() []string {
	var found []string
	require := func(ok bool, mistake string) {
		if !ok {
			found = append(found, mistake)
		}
	}
	require(w.Name != "", "name: is missing")
	require(w.DataCentre != "", "dataCentre: is missing")
	require(w.Region != "", "region: is missing")
	require(isAddressWithPort(w.Callers), "callers: want IP:port, such as 10.0.0.1:80")
	require(isAddressWithPort(w.Operators), "operators: want IP:port")
	require(isAddressWithPort(w.Peers), "peers: want IP:port")
	require(w.Callers != w.Operators && w.Callers != w.Peers && w.Operators != w.Peers,
		"callers, operators, peers: must be three different addresses")
	platform, err := url.Parse(w.Platform)
	require(err == nil && platform.Scheme == "http" && platform.Host != "", "platform: want a URL such as http://10.0.0.9:7000")
	for _, seed := range w.Seeds {
		require(isAddressWithPort(seed), "seeds: want IP:port")
	}
	require(len(w.PeerKeys) == 1 || len(w.PeerKeys) == 2, "peerKeys: want one key, or two while keys are replaced")
	for _, key := range w.PeerKeys {
		require(len(key) >= minPeerKeyBytes, "peerKeys: a key has at least 16 characters")
	}
	return found
}

func isAddressWithPort(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}
