package membership_test

import (
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/core/membership"
	"endivepost/internal/data/revision"
	"endivepost/internal/wire/message"
)

// inEra returns the row of an upstream that started at the time.
func inEra(era, number uint64, started int64, leaving bool) event.Upstream {
	row := upstream(number)
	row.Era, row.Started, row.Leaving = era, started, leaving
	return row
}

func list(members *membership.Membership, now time.Duration, era, number uint64, rows ...event.Upstream) {
	members.Replace(now, rows, revision.New(era, number))
}

// TestListOfRestoredStore guards against taking a restored list for the truth, and against
// ignoring it: each case applies updates to an upstream listed at revision 100 of era 1 and
// checks whether it is usable at a later time.
func TestListOfRestoredStore(t *testing.T) {
	leave := func(members *membership.Membership) { members.Update(0, inEra(1, 110, 7, true)) }
	departure := message.Departure{Upstream: "u-1", Era: 1, Revision: 110, Started: 7}
	cases := []struct {
		name   string
		update func(*membership.Membership)
		at     time.Duration
		usable bool
	}{
		{"drain with a lower revision", func(members *membership.Membership) {
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
			members.Update(0, inEra(2, 91, 7, true))
		}, 0, false},
		{"removal with a lower revision", func(members *membership.Membership) {
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
			members.Remove(0, "u-1", revision.New(2, 91))
		}, 0, false},
		{"departure from a peer with a lower revision", func(members *membership.Membership) {
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
			members.ApplyDeparture(0, message.Departure{Upstream: "u-1", Era: 2, Revision: 91, Started: 7})
		}, 0, false},
		{"late update of the earlier era", func(members *membership.Membership) {
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
			members.Update(0, inEra(1, 120, 7, true))
		}, 0, true},
		{"copy lists a leaving upstream as ready", func(members *membership.Membership) {
			leave(members)
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
		}, expiry - time.Second, false},
		{"and still does after the expiry", func(members *membership.Membership) {
			leave(members)
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
			members.AdoptListed(expiry)
		}, expiry, true},
		{"but the upstream expires", func(members *membership.Membership) {
			leave(members)
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
			members.Remove(time.Second, "u-1", revision.New(2, 95))
			members.AdoptListed(expiry)
		}, expiry, false},
		{"but the upstream says again that it leaves", func(members *membership.Membership) {
			leave(members)
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
			members.Update(time.Second, inEra(2, 95, 7, true))
			members.AdoptListed(expiry)
		}, expiry, false},
		{"but the upstream says that it is ready", func(members *membership.Membership) {
			leave(members)
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
			members.Update(time.Second, inEra(2, 95, 7, false))
		}, time.Second, true},
		{"copy of a copy lists a leaving upstream", func(members *membership.Membership) {
			leave(members)
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
			list(members, expiry/2, 4, 90, inEra(4, 80, 7, false))
			members.AdoptListed(expiry)
		}, expiry, false},
		{"another process of the name", func(members *membership.Membership) {
			leave(members)
			list(members, 0, 2, 90, inEra(2, 80, 8, false))
		}, 0, true},
		{"an earlier process of the name", func(members *membership.Membership) {
			list(members, 0, 2, 90, inEra(2, 80, 6, true))
		}, 0, true},
		{"an earlier process of the name, still listed after the expiry", func(members *membership.Membership) {
			list(members, 0, 2, 90, inEra(2, 80, 6, true))
			members.AdoptListed(expiry)
		}, expiry, false},
		{"missing from the copy", func(members *membership.Membership) { list(members, 0, 2, 90) }, 2 * time.Second, true},
		{"missing from the copy for good", func(members *membership.Membership) { list(members, 0, 2, 90) }, 3 * time.Second, false},
		{"missing from the copy and registered again", func(members *membership.Membership) {
			list(members, 0, 2, 90)
			members.Update(time.Second, inEra(2, 91, 7, false))
		}, 9 * time.Second, true},
		{"missing from the copy and then leaving", func(members *membership.Membership) {
			list(members, 0, 2, 90)
			members.Update(time.Second, inEra(2, 91, 7, true))
		}, time.Second, false},
		{"missing from the copy, and a peer knows that it leaves", func(members *membership.Membership) {
			list(members, 0, 2, 90)
			members.ApplyDeparture(time.Second, message.Departure{Upstream: "u-1", Era: 2, Revision: 91, Started: 7})
		}, time.Second, false},
		{"missing from the copy, and a peer knows an earlier departure", func(members *membership.Membership) {
			list(members, 0, 2, 90)
			members.ApplyDeparture(time.Second, departure)
			members.AdoptListed(expiry + time.Second)
		}, expiry + time.Second, false},
		{"peer knows a departure that the copy lacks", func(members *membership.Membership) {
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
			members.ApplyDeparture(0, departure)
		}, time.Second, false},
		{"peer knows a departure, and the upstream has registered again", func(members *membership.Membership) {
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
			members.Update(0, inEra(2, 91, 7, false))
			members.ApplyDeparture(0, departure)
		}, time.Second, true},
		{"peer reads the departure of an earlier process", func(members *membership.Membership) {
			members.ApplyDeparture(0, message.Departure{Upstream: "u-1", Era: 2, Revision: 91, Started: 6})
		}, time.Second, true},
		{"peer knows a departure of an earlier process", func(members *membership.Membership) {
			list(members, 0, 2, 90, inEra(2, 80, 8, false))
			members.ApplyDeparture(0, departure)
		}, time.Second, true},
		{"peer knows a departure, but the upstream stays listed", func(members *membership.Membership) {
			list(members, 0, 2, 90, inEra(2, 80, 7, false))
			members.ApplyDeparture(0, departure)
			members.AdoptListed(expiry)
			members.ApplyDeparture(expiry, departure)
		}, expiry, true},
	}
	for _, row := range cases {
		members := membership.New(expiry)
		list(members, 0, 1, 100, inEra(1, 100, 7, false))
		row.update(members)
		if got := members.Usable(row.at, "u-1"); got != row.usable {
			t.Errorf("%s: got usable %v at %v, want %v", row.name, got, row.at, row.usable)
		}
	}
}

// TestRowInDoubtIsKept guards against forgetting an upstream that is listed again just before
// the row of its departure would be deleted.
func TestRowInDoubtIsKept(t *testing.T) {
	members := membership.New(expiry)
	list(members, 0, 1, 100, inEra(1, 100, 7, false))
	members.Remove(0, "u-1", revision.New(1, 110))
	const later = 3 * time.Minute
	list(members, later, 2, 90, inEra(2, 80, 7, false))
	members.Departures(later + time.Second)
	members.AdoptListed(later + expiry)
	if !members.Usable(later+expiry, "u-1") {
		t.Error("got an unusable upstream, want it usable: it has been listed all the while")
	}
}

// TestRowsForPeer guards against telling a started entry that an upstream in doubt left at
// the revision at which it is listed: the entry would ignore the list.
func TestRowsForPeer(t *testing.T) {
	members := membership.New(expiry)
	list(members, 0, 1, 100, inEra(1, 100, 7, false))
	members.Update(0, inEra(1, 110, 7, true))
	listed := inEra(2, 80, 7, false)
	list(members, 0, 2, 90, listed)
	started := membership.New(expiry)
	for _, row := range members.Rows() {
		started.Update(0, row)
	}
	if started.Usable(0, "u-1") {
		t.Error("a leaving upstream is usable at a started entry, want it left out")
	}
	list(started, 0, 2, 90, listed)
	started.AdoptListed(expiry)
	if !started.Usable(expiry, "u-1") {
		t.Error("an upstream that stays listed is not usable at a started entry, want it usable")
	}
}
