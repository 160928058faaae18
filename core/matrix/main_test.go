package matrix_test

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain raises the target of the garbage collector. Cells allocate much and
// retain little, and collection takes a quarter of their time at the default.
func TestMain(m *testing.M) {
	debug.SetGCPercent(500)
	os.Exit(m.Run())
}
