// Package table stores the rows of a core by key.
package table

// Table stores rows in insertion order, so that iterating over it gives the same
// result for the same inputs. A map alone would not, since its order changes from run
// to run. The cost is one order entry per row. Entries of deleted rows are removed once
// they outnumber the rows by more than 16, so that a small table is seldom compacted.
// The zero value is not usable; call New.
type Table[K comparable, V any] struct {
	rows       map[K]storedRow[V]
	order      []orderEntry[K]
	lastSerial uint64
}

// storedRow is a row in the table. Serial distinguishes it from earlier rows with the
// same key.
type storedRow[V any] struct {
	row    V
	serial uint64
}

// orderEntry is the key of a stored or deleted row, with the row's serial.
type orderEntry[K comparable] struct {
	key    K
	serial uint64
}

// New returns an empty table.
func New[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{rows: make(map[K]storedRow[V])}
}

// Get returns the row of the key, and false if there is none.
func (table *Table[K, V]) Get(key K) (V, bool) {
	found, ok := table.rows[key]
	return found.row, ok
}

// Put stores the row under the key. A replaced row keeps its position in the order.
func (table *Table[K, V]) Put(key K, row V) {
	if found, ok := table.rows[key]; ok {
		table.rows[key] = storedRow[V]{row: row, serial: found.serial}
		return
	}
	table.lastSerial++
	table.rows[key] = storedRow[V]{row: row, serial: table.lastSerial}
	table.order = append(table.order, orderEntry[K]{key: key, serial: table.lastSerial})
}

// Delete removes the row of the key, if there is one.
func (table *Table[K, V]) Delete(key K) {
	delete(table.rows, key)
	if len(table.order) > 2*len(table.rows)+16 {
		table.compact()
	}
}

// DeleteOldest removes the row that was inserted first, if there is any. Its cost does not
// depend on the number of rows, as that of Keys does.
func (table *Table[K, V]) DeleteOldest() {
	for index, entry := range table.order {
		if table.isCurrent(entry) {
			delete(table.rows, entry.key)
			table.order = table.order[index+1:]
			return
		}
	}
	table.order = nil
}

// Len returns the number of rows.
func (table *Table[K, V]) Len() int {
	return len(table.rows)
}

// Keys returns the keys in insertion order.
func (table *Table[K, V]) Keys() []K {
	keys := make([]K, 0, len(table.rows))
	for _, entry := range table.order {
		if table.isCurrent(entry) {
			keys = append(keys, entry.key)
		}
	}
	return keys
}

// isCurrent returns whether the row of this entry has not been deleted since.
func (table *Table[K, V]) isCurrent(entry orderEntry[K]) bool {
	found, ok := table.rows[entry.key]
	return ok && found.serial == entry.serial
}

// compact removes the order entries of deleted rows.
func (table *Table[K, V]) compact() {
	kept := make([]orderEntry[K], 0, len(table.rows))
	for _, entry := range table.order {
		if table.isCurrent(entry) {
			kept = append(kept, entry)
		}
	}
	table.order = kept
}
