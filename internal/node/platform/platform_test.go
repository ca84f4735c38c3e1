package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"endivepost/internal/node/platform"
)

// TestOddMembers guards against a list of VMs that counts for nothing because of one entry that
// cannot be used: the others hold.
func TestOddMembers(t *testing.T) {
	t.Parallel()
	good := func(name string) string {
		return fmt.Sprintf(`{"name": %q, "address": "10.0.0.1:9000", "role": "sidecar", "domain": "a", "leaving": false}`, name)
	}
	withAddress := func(address string) string {
		return strings.Replace(good("odd"), "10.0.0.1:9000", address, 1)
	}
	nested := func(levels int) string {
		return strings.Repeat("[", levels) + strings.Repeat("]", levels)
	}
	cases := []struct{ name, entry string }{
		{"a number", "1e400"},
		{"null", "null"},
		{"an array", "[]"},
		{"no fields", "{}"},
		{"name of another type", `{"name": 7, "address": "10.0.0.1:9000", "role": "sidecar"}`},
		{"leaving out of the range of floats", `{"name": "odd", "address": "10.0.0.1:9000", "role": "sidecar", "leaving": 1e400}`},
		{"no name", strings.Replace(good("odd"), `"odd"`, `""`, 1)},
		{"no address", `{"name": "odd", "role": "sidecar"}`},
		{"port 0", withAddress("10.0.0.1:0")},
		{"port 65536", withAddress("10.0.0.1:65536")},
		{"port 99999", withAddress("10.0.0.1:99999")},
		{"negative port", withAddress("10.0.0.1:-1")},
		{"named port", withAddress("10.0.0.1:http")},
		{"no port", withAddress("10.0.0.1")},
		{"no host", withAddress(":9000")},
		{"thousands of levels", nested(9000)},
		{"hundreds of thousands of levels", nested(400_000)},
		{"a field with hundreds of thousands of levels", strings.Replace(good("odd"), "false", nested(400_000), 1)},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(writer, "[%s, %s, %s]", good("up-1"), row.entry, good("up-2"))
			}))
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			members, rejected, err := platform.New(server.URL).Members(ctx)
			if err != nil || len(members) != 2 || members[0].Name != "up-1" || members[1].Name != "up-2" || rejected == nil {
				t.Errorf("got %+v, rejected %v, error %v, want up-1 and up-2 and one rejected", members, rejected, err)
			}
		})
	}
}
