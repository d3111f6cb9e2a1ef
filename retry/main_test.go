package retry_test

import (
	"testing"

	"clovertrail.dev/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 400, 0) }
