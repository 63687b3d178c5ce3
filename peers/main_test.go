package peers

import (
	"testing"

	"amberway/internal/checks"
)

func TestMain(m *testing.M) {
	checks.Main(m, "500")
}
