package table_test

import (
	"fmt"
	"testing"

	"endivepost/internal/data/table"
)

func ExampleTable_DeleteOldest() {
	rows := table.New[string, int]()
	rows.Put("a", 1)
	rows.Put("b", 2)
	rows.Delete("a")
	rows.Put("a", 3)
	rows.DeleteOldest()
	fmt.Println(rows.Keys())
	// Output: [a]
}

// TestDeleteOldest guards against rows that are deleted in another order, or twice.
func TestDeleteOldest(t *testing.T) {
	const count, bound = 1000, 100
	rows := table.New[int, int]()
	for key := range count {
		if rows.Len() >= bound {
			rows.DeleteOldest()
		}
		rows.Put(key, key)
		if key%7 == 0 {
			rows.Delete(key - 3)
		}
	}
	keys := rows.Keys()
	if len(keys) > bound || len(keys) != rows.Len() || keys[len(keys)-1] != count-1 {
		t.Fatalf("got %d of %d keys, the last of them %d, want at most %d and %d", len(keys), rows.Len(), keys[len(keys)-1], bound, count-1)
	}
	for index := range keys[1:] {
		if keys[index] >= keys[index+1] {
			t.Fatalf("key %d comes before %d, want the order of their insertion", keys[index], keys[index+1])
		}
	}
	for range count {
		rows.DeleteOldest()
	}
	if rows.Len() > 0 || len(rows.Keys()) > 0 {
		t.Errorf("%d rows are left, want none", rows.Len())
	}
}
