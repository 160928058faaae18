package daemon

import (
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const goodConfiguration = `{"name":"d-1","dataCentre":"ikeja","region":"west","callers":"10.0.0.1:80",
	"operators":"10.0.0.1:81","peers":"10.0.0.1:82","platform":"http://10.0.0.9:7000",
	"peerKeys":["0123456789abcdef"]}`

// Guards against a daemon that starts with an invalid configuration, and against an
// error that names only the first of several mistakes.
func TestConfigurationReportsEveryMistake(t *testing.T) {
	_, err := parseConfiguration([]byte(goodConfiguration))
	require.NoError(t, err)
	cases := []struct {
		name, from, to string
		messages       []string
	}{
		{"not JSON", `{"name"`, `{name`, []string{"invalid character"}},
		{"unknown field", `"name"`, `"nmae"`, []string{"nmae"}},
		{"host name instead of an IP number", "10.0.0.1:80", "localhost:80", []string{"callers: want IP:port"}},
		{"address without port", "10.0.0.1:81", "10.0.0.1", []string{"operators: want IP:port"}},
		{"same address twice", "10.0.0.1:81", "10.0.0.1:80", []string{"must be three different addresses"}},
		{"platform without scheme", "http://10.0.0.9:7000", "10.0.0.9:7000", []string{"platform: want a URL"}},
		{"short key", "0123456789abcdef", "short", []string{"want at least 16 bytes in a key, got 5"}},
		{"several mistakes", `"dataCentre":"ikeja","region":"west"`, `"dataCentre":"","region":"","seeds":["x"]`,
			[]string{"dataCentre: must not be empty", "region: must not be empty", "seeds: want IP:port"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(goodConfiguration, tc.from, tc.to, 1)
			require.NotEqual(t, goodConfiguration, text)
			_, err := parseConfiguration([]byte(text))
			require.True(t, errors.Is(err, ErrConfiguration))
			for _, part := range tc.messages {
				require.ErrorContains(t, err, part)
			}
		})
	}
}

// Guards against a daemon that keeps some of its addresses although another one is in
// use, so that callers reach a daemon that its peers cannot reach.
func TestListenBindsAllAddressesOrNone(t *testing.T) {
	used, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer used.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	require.NoError(t, free.Close())
	_, err = listenAll(address, used.Addr().String())
	require.True(t, errors.Is(err, ErrListen))
	again, err := net.Listen("tcp", address)
	require.NoError(t, err)
	require.NoError(t, again.Close())
}
