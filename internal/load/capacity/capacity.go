// Package capacity measures the memory and processor time of table rows, messages and
// connections at several sizes, so that the cost of a large fleet can be extrapolated.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"endivepost/internal/load/slope"
)

// Table runs the measurements and prints their results.
type Table struct {
	writer *tabwriter.Writer
}

// measurement is the measurement of one cost at several sizes. Run returns the cost at
// a size, in the unit.
type measurement struct {
	name  string
	unit  string
	sizes []int
	run   func(size int) float64
}

const padding = 2

// New returns a table that writes to the writer.
func New(writer io.Writer) *Table {
	return &Table{writer: tabwriter.NewWriter(writer, 0, 0, padding, ' ', 0)}
}

// Run runs all measurements and prints the fitted line of each with its points.
func (table *Table) Run() error {
	_, _ = fmt.Fprintln(table.writer, "SLOPE\tPER UNIT\tBASE\tFIT\tPOINTS")
	for _, measurement := range measurements() {
		table.print(measurement)
	}
	_, _ = fmt.Fprintln(table.writer, "\nMESSAGE\tBYTES\t\t\tAS IN")
	for _, row := range messageSizes() {
		_, _ = fmt.Fprintf(table.writer, "%s\t%d\t\t\t%s\n", row.name, row.bytes, row.description)
	}
	_, _ = fmt.Fprintln(table.writer, "\nSUBSET\tMEAN\tLEAST\tMOST\tAS IN")
	for _, row := range subsetBalances() {
		_, _ = fmt.Fprintf(table.writer, "%s\t%.1f\t%d\t%d\t%s\n", row.name, row.mean, row.least, row.most, row.description)
	}
	return table.writer.Flush()
}

func (table *Table) print(measurement measurement) {
	var points []slope.Point
	text := ""
	for _, size := range measurement.sizes {
		value := measurement.run(size)
		points = append(points, slope.Point{Size: float64(size), Value: value})
		text += fmt.Sprintf("%d:%.4g ", size, value)
	}
	line := slope.New(points)
	_, _ = fmt.Fprintf(table.writer, "%s\t%.4g %s\t%.4g\t%.4f\t%s\n", measurement.name, line.PerUnit, measurement.unit, line.Intercept, line.RSquared, text)
}

// retainedHeap returns the heap bytes that the result of build retains.
func retainedHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// elapsedMicros returns the wall time of work in microseconds. Work must not block.
func elapsedMicros(work func()) float64 {
	begin := time.Now()
	work()
	return float64(time.Since(begin).Nanoseconds()) / float64(time.Microsecond)
}
