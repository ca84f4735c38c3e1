package recentrows_test

import (
	"fmt"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/core/recentrows"
)

func ExampleRows() {
	var rows recentrows.Rows
	rows = rows.With(1*time.Second, event.Upstream{Name: "a", Build: "v1"})
	rows = rows.With(2*time.Second, event.Upstream{Name: "b", Build: "v1"})
	rows = rows.With(3*time.Second, event.Upstream{Name: "a", Build: "v2"})
	for _, row := range rows.Since(2 * time.Second) {
		fmt.Println(row.Name, row.Build)
	}
	fmt.Println(len(rows.Since(3*time.Second)), len(rows.Without(4*time.Second).Since(0)))
	// Output:
	// b v1
	// a v2
	// 1 0
}
