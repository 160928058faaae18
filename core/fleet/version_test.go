package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a change that counts as in force on a daemon which has another document of
// the same revision: a restored platform has given the revision out again.
func TestDaemonWithOtherDocumentOfRevisionLags(t *testing.T) {
	own := NewSettingsVersion(5, 7)
	require.True(t, NewSettingsVersion(4, 9).Lags(own, 5))
	require.True(t, NewSettingsVersion(5, 6).Lags(own, 5))
	require.True(t, NewSettingsVersion(5, 8).Lags(own, 5))
	require.False(t, own.Lags(own, 5))
	require.False(t, NewSettingsVersion(6, 1).Lags(own, 5))
	require.False(t, NewSettingsVersion(4, 9).Lags(own, 4), "this daemon cannot read revision 5")
}
