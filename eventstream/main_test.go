package eventstream_test

import (
	"testing"

	"clovertrail.dev/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 1000, 0) }
