package logevent_test

import (
	"os"
	"strings"
	"testing"

	"endivepost/internal/node/logevent"
)

// TestPage holds the table of docs/OPERATIONS.md against the catalogue.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), "## Events\n")
	if !found {
		t.Fatal("the page has no section on events")
	}
	for _, entry := range logevent.Catalogue {
		if !strings.Contains(table, entry.Row()+"\n") {
			t.Errorf("the page lacks %s", entry.Row())
		}
	}
	const heading = 2
	if rows := strings.Count(table, "\n| "); rows != len(logevent.Catalogue)+heading {
		t.Errorf("the page has %d rows for %d events", rows-heading, len(logevent.Catalogue))
	}
}
