package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/fleet"
)

// Guards against a change that counts as in force on a daemon which has another document of
// the same revision: a restored platform has given the revision out again.
func TestDaemonWithOtherDocumentOfRevisionLags(t *testing.T) {
	own := fleet.NewSettingsVersion(5, 7)
	require.True(t, lags(fleet.NewSettingsVersion(4, 9), own, 5))
	require.True(t, lags(fleet.NewSettingsVersion(5, 6), own, 5))
	require.True(t, lags(fleet.NewSettingsVersion(5, 8), own, 5))
	require.False(t, lags(own, own, 5))
	require.False(t, lags(fleet.NewSettingsVersion(6, 1), own, 5))
	require.False(t, lags(fleet.NewSettingsVersion(4, 9), own, 4), "this daemon cannot read revision 5")
}
