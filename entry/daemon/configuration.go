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

// minKeyLength is the least length of a peer key. A shorter one could be
// guessed from a recorded handshake.
const minKeyLength = 16

// Configuration is what a process must know before it can reach the platform
// or its peers. Everything else comes from the settings tree.
type Configuration struct {
	name       string
	dataCentre string
	region     string
	callers    string
	operators  string
	peers      string
	platform   string
	seeds      []string
	keys       [][]byte
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
	c, err := parse(text)
	return c, errors.Wrap(err, path)
}

func parse(text []byte) (Configuration, error) {
	var wire wireConfiguration
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return Configuration{}, errors.Mark(err, ErrConfiguration)
	}
	if mistakes := wire.check(); len(mistakes) > 0 {
		return Configuration{}, errors.Wrap(ErrConfiguration, strings.Join(mistakes, "; "))
	}
	c := Configuration{
		name: wire.Name, dataCentre: wire.DataCentre, region: wire.Region, callers: wire.Callers,
		operators: wire.Operators, peers: wire.Peers, platform: wire.Platform, seeds: wire.Seeds,
	}
	for _, key := range wire.PeerKeys {
		c.keys = append(c.keys, []byte(key))
	}
	return c, nil
}

func (w wireConfiguration) check() []string {
	var mistakes []string
	note := func(ok bool, mistake string) {
		if !ok {
			mistakes = append(mistakes, mistake)
		}
	}
	note(w.Name != "", "name: is missing")
	note(w.DataCentre != "", "dataCentre: is missing")
	note(w.Region != "", "region: is missing")
	note(isAddress(w.Callers), "callers: want IP:port, such as 10.0.0.1:80")
	note(isAddress(w.Operators), "operators: want IP:port")
	note(isAddress(w.Peers), "peers: want IP:port")
	note(w.Callers != w.Operators && w.Callers != w.Peers && w.Operators != w.Peers,
		"callers, operators, peers: must be three different addresses")
	platform, err := url.Parse(w.Platform)
	note(err == nil && platform.Scheme == "http" && platform.Host != "", "platform: want a URL such as http://10.0.0.9:7000")
	for _, seed := range w.Seeds {
		note(isAddress(seed), "seeds: want IP:port")
	}
	note(len(w.PeerKeys) == 1 || len(w.PeerKeys) == 2, "peerKeys: want one key, or two while keys are replaced")
	for _, key := range w.PeerKeys {
		note(len(key) >= minKeyLength, "peerKeys: a key has at least 16 characters")
	}
	return mistakes
}

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}
