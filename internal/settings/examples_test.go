package settings

import (
	"os"
	"path/filepath"
	"reflect"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const examplesFolder = "../../examples"

// jsonNames returns the names of the settings in the struct s, as they appear in a file.
func jsonNames(s any) []string {
	var names []string
	for _, field := range reflect.VisibleFields(reflect.TypeOf(s)) {
		names = append(names, field.Tag.Get("json"))
	}
	return names
}

var _ = Describe("the examples", func() {
	// Guards against an example that no longer loads after the settings change.
	It("load without findings", func() {
		demo := filepath.Join(examplesFolder, "demo")
		entries, err := filepath.Glob(filepath.Join(demo, "entry-*.json"))
		Expect(err).NotTo(HaveOccurred())
		controls, err := filepath.Glob(filepath.Join(demo, "control-*.json"))
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(6))
		Expect(controls).To(HaveLen(3))
		for _, file := range append(entries, filepath.Join(examplesFolder, "entry.json")) {
			_, err := LoadEntryHost(file)
			Expect(err).NotTo(HaveOccurred(), file)
		}
		for _, file := range append(controls, filepath.Join(examplesFolder, "control.json")) {
			_, err := LoadControlHost(file)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})

	// Guards against a setting that the examples do not show, and against production
	// examples without TLS.
	It("for production show every setting and use TLS", func() {
		entry, err := LoadEntryHost(filepath.Join(examplesFolder, "entry.json"))
		Expect(err).NotTo(HaveOccurred())
		control, err := LoadControlHost(filepath.Join(examplesFolder, "control.json"))
		Expect(err).NotTo(HaveOccurred())
		Expect(entry.TLS.AuthorityFile).NotTo(BeEmpty())
		Expect(control.TLS.AuthorityFile).NotTo(BeEmpty())

		parts := map[string][]any{
			"entry.json":   {entry, TLS{}, Log{}},
			"control.json": {control, ControlMember{}, TLS{}, Log{}},
		}
		for file, settings := range parts {
			written := readFile(filepath.Join(examplesFolder, file))
			for _, part := range settings {
				for _, name := range jsonNames(part) {
					Expect(written).To(ContainSubstring(`"`+name+`":`), file)
				}
			}
		}
	})
})

func readFile(file string) string {
	GinkgoHelper()
	text, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}
