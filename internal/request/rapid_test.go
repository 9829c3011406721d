package request_test

import "flag"

// A fixed seed makes the property tests reproducible. To test with other seeds, pass
// -rapid.seed on the command line, which takes precedence.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
