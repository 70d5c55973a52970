// Command faults checks by mutation testing that the tests can fail: it applies one
// fault after the other to a copy of the code, and runs the test that must detect it.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

func main() {
	var only string
	flag.StringVar(&only, "only", "", "name of the only fault to try; all if empty")
	flag.Parse()
	if err := run(only); err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(1)
	}
}

func run(only string) error {
	undetected := 0
	for _, f := range faults {
		if only != "" && only != f.name {
			continue
		}
		started := time.Now()
		detected, err := f.detectedByTest()
		if err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		verdict := "detected"
		if !detected {
			verdict = "MISSED"
			undetected++
		}
		fmt.Printf("%-8s %-28s by %s %s (%.0f s)\n", verdict, f.name, f.pkg, f.test, time.Since(started).Seconds())
	}
	if undetected > 0 {
		return fmt.Errorf("%d faults were not detected", undetected)
	}
	return nil
}

// detectedByTest runs the test on a copy of the code with the fault, and reports
// whether the test failed.
func (f fault) detectedByTest() (bool, error) {
	directory, err := os.MkdirTemp("", "acaciavane-fault-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if err := copyTree(directory); err != nil {
		return false, err
	}
	if err := f.apply(directory); err != nil {
		return false, err
	}
	build := exec.Command("go", "vet", "./core", "./cli", "./io/...", "./platform")
	build.Dir = directory
	if out, err := build.CombinedOutput(); err != nil {
		return false, fmt.Errorf("the faulty code does not build: %w: %s", err, out)
	}
	test := exec.Command("go", "test", "-count=1", "-run", f.test, f.pkg)
	test.Dir = directory
	out, err := test.CombinedOutput()
	return err != nil && strings.Contains(string(out), "--- FAIL"), nil
}

// apply replaces the text of the fault in the copy. The text must occur exactly
// once.
func (f fault) apply(directory string) error {
	file := filepath.Join(directory, f.file)
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if strings.Count(string(raw), f.old) != 1 {
		return fmt.Errorf("%s: the text to replace does not occur exactly once", f.file)
	}
	const filePermissions = 0o644
	return os.WriteFile(file, []byte(strings.Replace(string(raw), f.old, f.new, 1)), filePermissions)
}

// copyTree copies all tracked files, and all untracked files that git does not
// ignore.
func copyTree(directory string) error {
	list, err := exec.Command("git", "ls-files", "-co", "--exclude-standard").Output()
	if err != nil {
		return err
	}
	const directoryPermissions, filePermissions = 0o755, 0o644
	for name := range strings.Lines(string(list)) {
		name = strings.TrimSpace(name)
		raw, err := os.ReadFile(name)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return err
		}
		target := filepath.Join(directory, name)
		if err := os.MkdirAll(filepath.Dir(target), directoryPermissions); err != nil {
			return err
		}
		if err := os.WriteFile(target, raw, filePermissions); err != nil {
			return err
		}
	}
	return nil
}
