package lab

import (
	"fmt"
	"os/exec"
	"runtime"
	"strings"
)

// Machine names what a measurement ran on.
func Machine() string {
	return fmt.Sprintf("%d processors, %s", runtime.NumCPU(), runtime.Version())
}

// Commit returns the revision that is measured.
func Commit() string {
	out, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
