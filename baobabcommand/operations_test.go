package baobabcommand

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/baobabdale/baobabdale/baobabcall"
)

// TestOperationsPage guards against a refusal reason that the operations page does not explain.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range baobabcall.Reasons() {
		if !strings.Contains(string(page), "| `"+string(r)+"` |") {
			t.Errorf("docs/OPERATIONS.md does not explain the reason %s", r)
		}
	}
}
