// Package testutil has helpers for tests: it fixes the seed of property tests, detects leaked goroutines, builds programs
// and finds free addresses.
package testutil

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// defaultSeed is the seed of property tests unless the flag -rapid.seed sets another one.
const defaultSeed = "20261204"

// Main runs the tests of a package and exits. It fails if a goroutine is left over at the end. Call it from TestMain.
func Main(m *testing.M) {
	configureRapid()
	goleak.VerifyTestMain(m)
}

// configureRapid makes property tests repeatable: it sets the seed, because rapid uses a random one if its flag is 0,
// and keeps rapid from writing files about failures, which later runs would replay.
func configureRapid() {
	_ = rapid.ID[int] // links rapid into every test binary, so that its flags exist
	if rapidFlag := flag.Lookup("rapid.seed"); rapidFlag != nil && rapidFlag.Value.String() == "0" {
		_ = rapidFlag.Value.Set(defaultSeed)
	}
	if rapidFlag := flag.Lookup("rapid.nofailfile"); rapidFlag != nil {
		_ = rapidFlag.Value.Set("true")
	}
}
