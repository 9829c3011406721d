package directory_test

import "flag"

// The property tests use a fixed seed, so that each run gives the same result.
// -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
