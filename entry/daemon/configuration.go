package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// ErrConfiguration means that the configuration file is unreadable or invalid.
var ErrConfiguration = errors.New("invalid configuration")

// minPeerKeyBytes is the minimum length of a peer key. A shorter key could be
// guessed from a recorded handshake.
const minPeerKeyBytes = 16

// Configuration holds what a daemon needs before it can reach the platform and its
// peers. All other settings come from the settings tree.
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
	// drainMargin is the margin of a planned stop, set by tests only. Zero means
	// the default.
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

// Load reads and checks a configuration file in JSON. It returns an
// ErrConfiguration that lists all mistakes if the file is unreadable or invalid.
func Load(path string) (Configuration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Configuration{}, errors.Mark(err, ErrConfiguration)
	}
	c, err := parseConfiguration(text)
	return c, errors.Wrap(err, path)
}

// parseConfiguration parses and checks the text of a configuration file. It returns
// ErrConfiguration.
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

// mistakes returns a message for each invalid field, led by the name of the field.
func (w wireConfiguration) mistakes() []string {
	var found []string
	require := func(ok bool, mistake string) {
		if !ok {
			found = append(found, mistake)
		}
	}
	require(w.Name != "", "name: must not be empty")
	require(w.DataCentre != "", "dataCentre: must not be empty")
	require(w.Region != "", "region: must not be empty")
	require(isAddressWithPort(w.Callers), fmt.Sprintf("callers: want IP:port such as 10.0.0.1:80, got %q", w.Callers))
	require(isAddressWithPort(w.Operators), fmt.Sprintf("operators: want IP:port, got %q", w.Operators))
	require(isAddressWithPort(w.Peers), fmt.Sprintf("peers: want IP:port, got %q", w.Peers))
	require(w.Callers != w.Operators && w.Callers != w.Peers && w.Operators != w.Peers,
		"callers, operators, peers: must be three different addresses")
	platform, err := url.Parse(w.Platform)
	require(err == nil && platform.Scheme == "http" && platform.Host != "",
		fmt.Sprintf("platform: want a URL such as http://10.0.0.9:7000, got %q", w.Platform))
	for _, seed := range w.Seeds {
		require(isAddressWithPort(seed), fmt.Sprintf("seeds: want IP:port, got %q", seed))
	}
	require(len(w.PeerKeys) == 1 || len(w.PeerKeys) == 2,
		fmt.Sprintf("peerKeys: want one key, or two during a key change, got %d", len(w.PeerKeys)))
	for _, key := range w.PeerKeys {
		require(len(key) >= minPeerKeyBytes,
			fmt.Sprintf("peerKeys: want at least %d bytes in a key, got %d", minPeerKeyBytes, len(key)))
	}
	return found
}

// isAddressWithPort reports whether the text is an IP address with a port other than
// 0. Host names are not accepted.
func isAddressWithPort(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}
