package boundedreader_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"endivepost/internal/data/boundedreader"
)

func ExampleReader() {
	reader := boundedreader.New(strings.NewReader("a head, then a body"))
	reader.Allow(6)
	head, err := io.ReadAll(reader)
	fmt.Printf("%s: %v\n", head, err)
	reader.AllowAll()
	body, err := io.ReadAll(reader)
	fmt.Printf("%s: %v\n", body, err)
	// Output:
	// a head: the peer sent more bytes than are read
	// , then a body: <nil>
}

// TestNewAllowsNothing guards against a reader that is unbounded until a bound is set.
func TestNewAllowsNothing(t *testing.T) {
	if _, err := boundedreader.New(strings.NewReader("x")).Read(make([]byte, 1)); !errors.Is(err, boundedreader.ErrTooLong) {
		t.Errorf("got error %v, want ErrTooLong", err)
	}
}
