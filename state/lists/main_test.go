package lists_test

import (
	"testing"

	"github.com/hibiscuslever/hibiscuslever/checks"
)

func TestMain(m *testing.M) { checks.Main(m) }
