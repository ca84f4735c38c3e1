// Package capacity measures what rows, messages and connections cost, at several
// sizes, so that the cost of a large fleet can be worked out.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"endivepost/internal/load/slope"
)

// Table is the table of measurements.
type Table struct {
	writer *tabwriter.Writer
}

// measure returns the cost of size rows in one unit.
type measure struct {
	name  string
	unit  string
	sizes []int
	take  func(size int) float64
}

const padding = 2

// New returns a table that prints to the writer.
func New(writer io.Writer) *Table {
	return &Table{writer: tabwriter.NewWriter(writer, 0, 0, padding, ' ', 0)}
}

// Run takes all measurements and prints the slope of each with its points.
func (capacity *Table) Run() error {
	_, _ = fmt.Fprintln(capacity.writer, "SLOPE\tPER UNIT\tBASE\tFIT\tPOINTS")
	for _, measure := range measures() {
		capacity.print(measure)
	}
	_, _ = fmt.Fprintln(capacity.writer, "\nMESSAGE\tBYTES\t\t\tAS IN")
	for _, row := range messageSizes() {
		_, _ = fmt.Fprintf(capacity.writer, "%s\t%d\t\t\t%s\n", row.name, row.bytes, row.what)
	}
	_, _ = fmt.Fprintln(capacity.writer, "\nSUBSET\tMEAN\tLEAST\tMOST\tAS IN")
	for _, row := range subsetBalances() {
		_, _ = fmt.Fprintf(capacity.writer, "%s\t%.1f\t%d\t%d\t%s\n", row.name, row.mean, row.least, row.most, row.what)
	}
	return capacity.writer.Flush()
}

func (capacity *Table) print(measure measure) {
	var points []slope.Point
	text := ""
	for _, size := range measure.sizes {
		value := measure.take(size)
		points = append(points, slope.Point{Size: float64(size), Value: value})
		text += fmt.Sprintf("%d:%.4g ", size, value)
	}
	line := slope.New(points)
	_, _ = fmt.Fprintf(capacity.writer, "%s\t%.4g %s\t%.4g\t%.4f\t%s\n", measure.name, line.PerUnit, measure.unit, line.Intercept, line.RSquared, text)
}

// heapOf returns the bytes that stay in the heap after build, whose result is
// kept alive until then.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// microsOf returns the wall time of a function that does no waiting.
func microsOf(work func()) float64 {
	begin := time.Now()
	work()
	return float64(time.Since(begin).Nanoseconds()) / float64(time.Microsecond)
}
