package slope_test

import (
	"fmt"

	"endivepost/internal/load/slope"
)

func ExampleNew() {
	line := slope.New([]slope.Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}})
	fmt.Printf("%.0f + %.0f x, fit %.2f; at 10: %.0f\n", line.Intercept, line.PerUnit, line.RSquared, line.At(10))
	// Output: 3 + 2 x, fit 1.00; at 10: 23
}
