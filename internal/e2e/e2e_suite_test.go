// Package e2e tests the real binaries as processes on loopback addresses, with
// the lab's fabric, callers and backend servers in the test process.
package e2e

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// eventTimeout is the timeout of waits for events. It is longer than any run: the
// time limit of go test ends a run that hangs.
const eventTimeout = 10 * time.Minute

// pollInterval is the interval between two checks for an event.
const pollInterval = 50 * time.Millisecond

// repositoryRoot is the path of the repository's root folder.
const repositoryRoot = "../.."

// binaries is the path of the folder with the binaries under test.
var binaries string

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "e2e")
}

var _ = BeforeSuite(func() {
	binaries = GinkgoT().TempDir()
	command := exec.Command("go", "build", "-o", binaries, "./cmd/cassiawood-entry", "./cmd/cassiawood-control")
	command.Dir = repositoryRoot
	output, err := command.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})

func binary(name string) string { return filepath.Join(binaries, name) }
