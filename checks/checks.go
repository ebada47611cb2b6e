// Package checks runs the tests of a package with a fixed seed and looks for goroutines that are left over.
package checks

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// seed is the seed of property tests unless the flag -rapid.seed names another one.
const seed = "20261204"

// Main runs the tests of a package.
func Main(m *testing.M) {
	fixSeed()
	goleak.VerifyTestMain(m)
}

// fixSeed makes property tests repeat; rapid takes a random seed where its flag is 0.
func fixSeed() {
	_ = rapid.ID[int]
	if fl := flag.Lookup("rapid.seed"); fl != nil && fl.Value.String() == "0" {
		_ = fl.Value.Set(seed)
	}
	if fl := flag.Lookup("rapid.nofailfile"); fl != nil {
		_ = fl.Value.Set("true")
	}
}
