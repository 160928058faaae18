package connlimit

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/lovagegap/lovagegap/core/intake"
)

// memoryLimitFraction is the part of the memory at which the garbage collector works
// harder. The rest is for the program's code and stacks, and for the kernel.
const memoryLimitFraction = 0.7

// SystemResources fills the unknown fields of the stated resources: the memory with
// GOMEMLIMIT or that of the machine or control group, the descriptors with the limit of
// the process, which also bounds stated ones.
func SystemResources(stated intake.Resources) intake.Resources {
	if stated.Memory <= 0 {
		stated.Memory = systemMemory()
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < math.MaxInt32 {
		if stated.Descriptors <= 0 || stated.Descriptors > int(limit.Cur) {
			stated.Descriptors = int(limit.Cur)
		}
	}
	return stated
}

// SetMemoryLimit makes the garbage collector keep the process below its memory as long as
// what is in use allows it.
func SetMemoryLimit(r intake.Resources) {
	if r.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(r.Memory) * memoryLimitFraction))
	}
}

// systemMemory returns the memory that the process may use, or 0 if it is unknown. It is
// determined once, since SetMemoryLimit replaces the value of GOMEMLIMIT.
var systemMemory = sync.OnceValue(func() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	memory := int64(0)
	text, _ := os.ReadFile("/proc/meminfo")
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "MemTotal:" {
			kib, _ := strconv.ParseInt(fields[1], 10, 64)
			memory = kib << 10
		}
	}
	text, _ = os.ReadFile("/sys/fs/cgroup/memory.max")
	if group, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && group > 0 && (memory == 0 || group < memory) {
		memory = group
	}
	return memory
})
