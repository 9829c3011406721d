package changelog_test

import "flag"

// init fixes the seed of the property tests, so that every run has the same result.
// The flag -rapid.seed on the command line takes precedence.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
