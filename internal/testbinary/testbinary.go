// Package testbinary builds the programs that the tests of a package start.
package testbinary

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// Main builds the given main packages, calls built with the directory of their binaries, and runs the
// tests. It returns their exit status.
func Main(m *testing.M, built func(dir string), packages ...string) int {
	dir, err := os.MkdirTemp("", "mastictray-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", append([]string{"build", "-o", dir + "/"}, packages...)...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	built(dir)
	return m.Run()
}
