package lab

import (
	"fmt"
	"os/exec"
	"runtime"
	"strings"
)

// MachineDescription describes the machine for measurement reports: processor count and Go version.
func MachineDescription() string {
	return fmt.Sprintf("%d processors, %s", runtime.NumCPU(), runtime.Version())
}

// CommitHash returns the abbreviated hash of the Git commit that is measured, or "unknown".
func CommitHash() string {
	out, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
