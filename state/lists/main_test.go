package lists_test

import (
	"testing"

	"github.com/hibiscuslever/hibiscuslever/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }
