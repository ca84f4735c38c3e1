package logevent_test

import (
	"os"
	"strings"
	"testing"

	"endivepost/internal/node/logevent"
)

// TestOperationsPageListsCatalogue guards against a table in docs/OPERATIONS.md that
// differs from the catalogue.
func TestOperationsPageListsCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), "## Events\n")
	if !found {
		t.Fatal("docs/OPERATIONS.md has no section Events")
	}
	for _, event := range logevent.Catalogue {
		if !strings.Contains(table, event.Row()+"\n") {
			t.Errorf("docs/OPERATIONS.md lacks the row %s", event.Row())
		}
	}
	const headerRows = 2
	if rows := strings.Count(table, "\n| "); rows != len(logevent.Catalogue)+headerRows {
		t.Errorf("rows in docs/OPERATIONS.md: got %d, want %d", rows-headerRows, len(logevent.Catalogue))
	}
}
