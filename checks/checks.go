// Package checks runs the tests of a package with a fixed seed and looks for goroutines that are left over.
package checks

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// defaultSeed is the seed of property tests unless the flag -rapid.seed names another one.
const defaultSeed = "20261204"

// Main runs the tests of a package.
func Main(m *testing.M) {
	configureRapid()
	goleak.VerifyTestMain(m)
}

// configureRapid makes property tests repeat; rapid takes a random seed where its flag is 0.
func configureRapid() {
	_ = rapid.ID[int]
	if rapidFlag := flag.Lookup("rapid.seed"); rapidFlag != nil && rapidFlag.Value.String() == "0" {
		_ = rapidFlag.Value.Set(defaultSeed)
	}
	if rapidFlag := flag.Lookup("rapid.nofailfile"); rapidFlag != nil {
		_ = rapidFlag.Value.Set("true")
	}
}
