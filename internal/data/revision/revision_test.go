package revision_test

import (
	"fmt"

	"endivepost/internal/data/revision"
)

func ExampleRevision_After() {
	before := revision.New(1, 120)
	restored := revision.New(2, 95)
	fmt.Println(restored.After(before), before.After(restored), restored.After(revision.New(2, 95)))
	// Output: true false false
}
