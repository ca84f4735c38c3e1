package membership_test

import (
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/core/membership"
	"endivepost/internal/wire/message"
)

func upstream(revision uint64) event.Upstream {
	return event.Upstream{Name: "u-1", Pool: "p", Address: "10.0.0.1:80", Revision: revision}
}

// TestRoster is the table of what is told of one upstream, with whether it may
// be sent new work then.
func TestRoster(t *testing.T) {
	leaving := upstream(12)
	leaving.Leaving = true
	cases := []struct {
		name   string
		tell   func(*membership.Membership)
		at     time.Duration
		usable bool
	}{
		{"listed", func(*membership.Membership) {}, time.Second, true},
		{"leaving", func(r *membership.Membership) { r.Update(0, leaving) }, 0, false},
		{"leaving, by an older word", func(r *membership.Membership) { r.Update(0, event.Upstream{Name: "u-1", Leaving: true, Revision: 9}) }, 0, true},
		{"removed", func(r *membership.Membership) { r.Remove(0, "u-1", 12) }, 0, false},
		{"removed and back under its name", func(r *membership.Membership) {
			r.Remove(0, "u-1", 12)
			r.Update(0, upstream(13))
		}, 0, true},
		{"removed, then an older row", func(r *membership.Membership) {
			r.Remove(0, "u-1", 12)
			r.Update(0, upstream(11))
		}, 0, false},
		{"missing from the list", func(r *membership.Membership) { r.Replace(0, nil, 12) }, 0, false},
		{"missing from an older list", func(r *membership.Membership) { r.Replace(0, nil, 9) }, 0, true},
		{"a peer says it left", func(r *membership.Membership) { r.ApplyDeparture(0, message.Departure{Upstream: "u-1", Revision: 12}) }, 0, false},
		{"a peer says what is old", func(r *membership.Membership) { r.ApplyDeparture(0, message.Departure{Upstream: "u-1", Revision: 10}) }, 0, true},
		{"another answers at its address", func(r *membership.Membership) { r.MarkAddressReused(0, "u-1") }, 0, false},
		{"expired while the service was away", expired, 2 * time.Second, true},
		{"still missing after its return", expired, 4 * time.Second, false},
		{"back after its return", func(r *membership.Membership) {
			expired(r)
			r.Update(2*time.Second, upstream(13))
		}, 9 * time.Second, true},
		{"leaving while the service is away", func(r *membership.Membership) {
			r.StoreLost()
			r.Update(0, leaving)
		}, 0, false},
	}
	for _, row := range cases {
		kept := membership.New()
		kept.Replace(0, []event.Upstream{upstream(10)}, 10)
		row.tell(kept)
		if got := kept.Usable(row.at, "u-1"); got != row.usable {
			t.Errorf("%s: usable %v at %v", row.name, got, row.at)
		}
		if got := len(kept.InPool(row.at, "p")) == 1; got != row.usable {
			t.Errorf("%s: in its pool %v at %v", row.name, got, row.at)
		}
	}
}

// expired loses the row in an outage that ends after a second.
func expired(kept *membership.Membership) {
	kept.StoreLost()
	kept.StoreRegained(time.Second)
	kept.Remove(time.Second, "u-1", 12)
}

func TestDeparturesReachPeers(t *testing.T) {
	kept := membership.New()
	kept.Replace(0, []event.Upstream{upstream(10)}, 10)
	kept.Remove(0, "u-1", 12)
	if got := kept.Departures(time.Second); len(got) != 1 || got[0] != (message.Departure{Upstream: "u-1", Revision: 12}) {
		t.Errorf("told peers %+v", got)
	}
	if got := kept.Departures(time.Minute); len(got) != 0 {
		t.Errorf("still told peers %+v after a minute", got)
	}
}
