// Package arch_test checks the import rules of docs/design.md, section 4.
package arch_test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestArch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "arch")
}

// purePackages lists the packages that contain decision logic only.
var purePackages = []string{
	"directory", "flow", "balance", "request", "member", "changelog", "document", "experiment",
	"affinity", "routing", "registry", "voters", "delay", "coldstart", "rotation", "suggest",
}

// forbiddenImports lists the imports that would give a pure package access to I/O,
// a clock, concurrency or a global random source.
var forbiddenImports = []string{
	"net", "net/http", "os", "io/fs", "syscall", "sync", "sync/atomic", "math/rand", "context", "log/slog",
	"cassiawood/internal/ring", "cassiawood/internal/duty", "cassiawood/internal/wire", "cassiawood/internal/packet",
	"cassiawood/internal/changelog/wal", "cassiawood/internal/announce", "cassiawood/internal/operator",
}

// clockCalls lists the functions of package time that read the clock or wait.
var clockCalls = []string{
	"time.Now", "time.Since", "time.Until", "time.Sleep", "time.After", "time.NewTimer", "time.NewTicker", "time.Tick(",
}

// sourceFiles returns the Go files of a package without its tests.
func sourceFiles(pkg string) []string {
	GinkgoHelper()
	all, err := filepath.Glob(filepath.Join("..", pkg, "*.go"))
	Expect(err).NotTo(HaveOccurred())
	var files []string
	for _, f := range all {
		if !strings.HasSuffix(f, "_test.go") {
			files = append(files, f)
		}
	}
	return files
}

var _ = Describe("pure packages", func() {
	for _, pkg := range purePackages {
		// Guards against decisions that depend on I/O or the wall clock and therefore
		// cannot be reproduced from a seed.
		It("keep I/O, clocks and goroutines out of "+pkg, func() {
			for _, file := range sourceFiles(pkg) {
				source, err := os.ReadFile(file)
				Expect(err).NotTo(HaveOccurred())
				parsed, err := parser.ParseFile(token.NewFileSet(), file, source, parser.ImportsOnly)
				Expect(err).NotTo(HaveOccurred())
				for _, imported := range parsed.Imports {
					Expect(forbiddenImports).NotTo(ContainElement(strings.Trim(imported.Path.Value, `"`)), file)
				}
				for _, call := range clockCalls {
					Expect(string(source)).NotTo(ContainSubstring(call), file)
				}
				Expect(string(source)).NotTo(MatchRegexp(`(?m)^\s*go (func|[a-z]+[.(])`), file)
			}
		})
	}
})

// goFiles returns all Go files of the repository except generated ones.
func goFiles() []string {
	GinkgoHelper()
	var files []string
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, entry os.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, ".pb.go") {
			files = append(files, path)
		}
		return err
	})
	Expect(err).NotTo(HaveOccurred())
	return files
}

var _ = Describe("the adapter of the users' platform", func() {
	inAdapter := func(path string) bool {
		return strings.HasPrefix(path, filepath.Join("..", "..", "platform")+string(filepath.Separator))
	}

	// Guards against decision logic that depends on the platform, which another front
	// end could not use.
	It("is imported by the binaries only", func() {
		for _, path := range goFiles() {
			if inAdapter(path) || strings.HasPrefix(path, filepath.Join("..", "..", "cmd")) {
				continue
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			Expect(err).NotTo(HaveOccurred())
			for _, imported := range parsed.Imports {
				Expect(imported.Path.Value).NotTo(HavePrefix(`"cassiawood/platform`), path)
			}
		}
	})
})

var _ = Describe("the processes of the users' platform", func() {
	// timeOfDay lists uses of the wall clock, which can be set forward or back. Waits
	// and ages use duty.SteadyClock, which reads the wall clock once at the start and
	// then advances with the monotonic clock.
	timeOfDay := []string{".Unix()", ".UnixMilli()", ".UnixMicro()", ".UnixNano()", "time.Date(", "time.Unix(", ".Round(0)"}

	// Guards against elections, leases and resets that are caused by a step of the
	// wall clock.
	It("make no decision by the wall clock", func() {
		for _, pkg := range []string{"affinity", "changelog", "changelog/wal", "cluster", "edge", "registry", "replica", "routing", "voters", "wire"} {
			files := sourceFiles(pkg)
			Expect(files).NotTo(BeEmpty(), pkg)
			for _, file := range files {
				source, err := os.ReadFile(file)
				Expect(err).NotTo(HaveOccurred())
				for _, use := range timeOfDay {
					Expect(string(source)).NotTo(ContainSubstring(use), file)
				}
			}
		}
	})
})
