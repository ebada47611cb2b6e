package settings_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/hibiscuslever/hibiscuslever/settings"
)

// TestSettings runs the scripts in testdata: "parse" reads a settings file.
func TestSettings(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, td *datadriven.TestData) string {
			st, err := settings.Parse("host.ini", []byte(td.Input))
			if err != nil {
				return err.Error()
			}
			return fmt.Sprintf("%+v\n", st)
		})
	})
}
