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

// purePackages hold decisions only.
var purePackages = []string{
	"directory", "flow", "balance", "request", "member", "changelog", "document", "experiment",
	"affinity", "routing", "registry", "voters",
}

// forbidden lists imports that give a pure package I/O, a clock, concurrency or
// a global random source.
var forbidden = []string{
	"net", "net/http", "os", "io/fs", "syscall", "sync", "sync/atomic", "math/rand", "context", "log/slog",
	"cassiawood/internal/ring", "cassiawood/internal/duty", "cassiawood/internal/wire", "cassiawood/internal/packet",
	"cassiawood/internal/changelog/wal", "cassiawood/internal/announce", "cassiawood/internal/operator",
}

// clockCalls are functions of package time that read the clock or wait.
var clockCalls = []string{
	"time.Now", "time.Since", "time.Until", "time.Sleep", "time.After", "time.NewTimer", "time.NewTicker", "time.Tick(",
}

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
		// Guards against a decision that depends on I/O or the wall clock, which no seed could repeat.
		It("keep I/O, clocks and goroutines out of "+pkg, func() {
			for _, file := range sourceFiles(pkg) {
				source, err := os.ReadFile(file)
				Expect(err).NotTo(HaveOccurred())
				parsed, err := parser.ParseFile(token.NewFileSet(), file, source, parser.ImportsOnly)
				Expect(err).NotTo(HaveOccurred())
				for _, imported := range parsed.Imports {
					Expect(forbidden).NotTo(ContainElement(strings.Trim(imported.Path.Value, `"`)), file)
				}
				for _, call := range clockCalls {
					Expect(string(source)).NotTo(ContainSubstring(call), file)
				}
				Expect(string(source)).NotTo(MatchRegexp(`(?m)^\s*go (func|[a-z]+[.(])`), file)
			}
		})
	}
})

// goFiles returns the Go files below the root, without generated ones.
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

	// Guards against decisions that depend on the platform and could not serve another front end.
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
	// timeOfDay are uses of the time of day, which jumps. Waits and ages come from duty.SteadyClock,
	// which reads it once at the start and counts on by a clock that does not jump.
	timeOfDay := []string{".Unix()", ".UnixMilli()", ".UnixMicro()", ".UnixNano()", "time.Date(", "time.Unix(", ".Round(0)"}

	// Guards against elections, leases and resets that follow a step of the time of day.
	It("make no decision by the time of day", func() {
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
