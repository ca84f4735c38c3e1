package membership_test

import (
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/core/membership"
	"endivepost/internal/data/revision"
	"endivepost/internal/wire/message"
)

// expiry is how long an upstream that is gone stays listed.
const expiry = 4 * time.Second

func upstream(revision uint64) event.Upstream {
	return event.Upstream{Name: "u-1", Pool: "p", Address: "10.0.0.1:80", Revision: revision}
}

// TestUsable guards against new requests to an upstream that has left, and against
// losing one that is still running: each case applies updates to one listed
// upstream and checks whether it is usable at a later time.
func TestUsable(t *testing.T) {
	leaving := upstream(12)
	leaving.Leaving = true
	cases := []struct {
		name   string
		update func(*membership.Membership)
		at     time.Duration
		usable bool
	}{
		{"listed", func(*membership.Membership) {}, time.Second, true},
		{"leaving", func(members *membership.Membership) { members.Update(0, leaving) }, 0, false},
		{"leaving in a stale update", func(members *membership.Membership) {
			members.Update(0, event.Upstream{Name: "u-1", Leaving: true, Revision: 9})
		}, 0, true},
		{"removed", func(members *membership.Membership) { members.Remove(0, "u-1", revision.New(0, 12)) }, 0, false},
		{"removed and listed again", func(members *membership.Membership) {
			members.Remove(0, "u-1", revision.New(0, 12))
			members.Update(0, upstream(13))
		}, 0, true},
		{"removed, then a stale update", func(members *membership.Membership) {
			members.Remove(0, "u-1", revision.New(0, 12))
			members.Update(0, upstream(11))
		}, 0, false},
		{"missing from the list", func(members *membership.Membership) { members.Replace(0, nil, revision.New(0, 12)) }, 0, false},
		{"missing from a stale list", func(members *membership.Membership) { members.Replace(0, nil, revision.New(0, 9)) }, 0, true},
		{"departure from a peer", func(members *membership.Membership) {
			members.ApplyDeparture(0, message.Departure{Upstream: "u-1", Revision: 12})
		}, 0, false},
		{"stale departure from a peer", func(members *membership.Membership) {
			members.ApplyDeparture(0, message.Departure{Upstream: "u-1", Revision: 10})
		}, 0, true},
		{"address reused", func(members *membership.Membership) { members.MarkAddressReused(0, "u-1") }, 0, false},
		{"expired in an outage", expired, 2 * time.Second, true},
		{"missing after the grace period", expired, 4 * time.Second, false},
		{"listed again after an outage", func(members *membership.Membership) {
			expired(members)
			members.Update(2*time.Second, upstream(13))
		}, 9 * time.Second, true},
		{"leaving in an outage", func(members *membership.Membership) {
			members.HandleStoreUnreachable()
			members.Update(0, leaving)
		}, 0, false},
	}
	for _, row := range cases {
		members := membership.New(expiry)
		members.Replace(0, []event.Upstream{upstream(10)}, revision.New(0, 10))
		row.update(members)
		if got := members.Usable(row.at, "u-1"); got != row.usable {
			t.Errorf("%s: got usable %v at %v, want %v", row.name, got, row.at, row.usable)
		}
		if got := len(members.InPool(row.at, "p")) == 1; got != row.usable {
			t.Errorf("%s: got %v for being in its pool at %v, want %v", row.name, got, row.at, row.usable)
		}
	}
}

// expired removes the row at the end of an outage of the configuration service of
// one second, as if it had expired meanwhile.
func expired(members *membership.Membership) {
	members.HandleStoreUnreachable()
	members.HandleStoreReachable(time.Second)
	members.Remove(time.Second, "u-1", revision.New(0, 12))
}

// TestDeparturesExpire guards against departures that peers never receive, and
// against reporting them for ever.
func TestDeparturesExpire(t *testing.T) {
	members := membership.New(expiry)
	members.Replace(0, []event.Upstream{upstream(10)}, revision.New(0, 10))
	members.Remove(0, "u-1", revision.New(0, 12))
	if got := members.Departures(time.Second); len(got) != 1 || got[0] != (message.Departure{Upstream: "u-1", Revision: 12}) {
		t.Errorf("after 1 s: got departures %+v, want that of u-1 at revision 12", got)
	}
	if got := members.Departures(time.Minute); len(got) != 0 {
		t.Errorf("after 1 min: got departures %+v, want none", got)
	}
}
