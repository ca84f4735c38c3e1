package loglimit_test

import (
	"fmt"
	"time"

	"endivepost/internal/node/loglimit"
)

func Example() {
	limit := loglimit.New(2)
	now := time.Unix(1000, 0)
	for range 5 {
		fmt.Println(limit.Allow(now))
	}
	fmt.Println(limit.Allow(now.Add(time.Second)))
	// Output:
	// true 0
	// true 0
	// false 0
	// false 0
	// false 0
	// true 3
}
