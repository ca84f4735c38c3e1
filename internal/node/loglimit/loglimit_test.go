package loglimit_test

import (
	"fmt"
	"time"

	"endivepost/internal/node/loglimit"
)

func Example() {
	limiter := loglimit.New(2)
	now := time.Unix(1000, 0)
	for range 5 {
		fmt.Println(limiter.Allow(now))
	}
	fmt.Println(limiter.Allow(now.Add(time.Second)))
	// Output:
	// true 0
	// true 0
	// false 0
	// false 0
	// false 0
	// true 3
}
