package crashcause

import (
	"slices"
	"time"

	"endivepost/internal/wire/message"
)

// survival is that of the latest of this process's requests with an attribute that the
// upstream survived; sentAt is 0 if only peers had one. Told is true once peers know of it.
type survival struct {
	upstream string
	sentAt   time.Duration
	told     bool
}

const (
	// maxSurvivors bounds the upstreams that are remembered to have survived an attribute.
	// So many show that it does not crash upstreams.
	maxSurvivors = 16
	maxSurvivals = 8192
)

// Survived records that the upstream survived the response to a request with the
// attributes, which was sent at the given time. It remembers those that other requests may
// share, the first shared ones.
func (finder *Finder) Survived(upstream string, attributes []uint64, shared int, sentAt time.Duration) {
	for i, attribute := range attributes {
		attempts, suspected := finder.evidence[attribute]
		if i >= shared && !suspected || !finder.remember(attribute, survival{upstream: upstream, sentAt: sentAt}) {
			continue
		}
		finder.tellSurvivals(attribute)
		var earlier []message.RequestID
		for _, attempt := range attempts {
			if row, _ := finder.interruptions.Get(attempt); row.at < sentAt {
				earlier = append(earlier, attempt)
			}
		}
		finder.addSurvivor(survivor{attribute: attribute, upstream: upstream}, earlier, true)
	}
}

// mergeSurvival adds a survival that a peer reported.
func (finder *Finder) mergeSurvival(now time.Duration, report message.Survival, forward bool) {
	finder.remember(report.Attribute, survival{upstream: report.Upstream, told: !forward})
	finder.tellSurvivals(report.Attribute)
	for _, attempt := range report.Attempts {
		finder.interruptions.Put(attempt, finder.row(now, attempt))
	}
	finder.addSurvivor(survivor{attribute: report.Attribute, upstream: report.Upstream}, report.Attempts, forward)
}

// remember adds a survival of the attribute. It returns false if a request that was sent no
// earlier survived at the same upstream.
func (finder *Finder) remember(attribute uint64, added survival) bool {
	survivals, found := finder.survivals.Get(attribute)
	for i, known := range survivals {
		switch {
		case known.upstream != added.upstream:
		case known.sentAt >= added.sentAt:
			return false
		default:
			survivals[i].sentAt = added.sentAt
			return true
		}
	}
	if !found && finder.survivals.Len() >= maxSurvivals {
		finder.survivals.DeleteOldest()
	}
	if len(survivals) >= maxSurvivors {
		if added.sentAt == 0 {
			return false
		}
		survivals = slices.Delete(survivals, 0, 1)
		added.told = true
	}
	finder.survivals.Put(attribute, append(survivals, added))
	return true
}

// tellSurvivals has peers told which upstreams survived the attribute at some time, once it
// counts among the attributes of an interruption.
func (finder *Finder) tellSurvivals(attribute uint64) {
	if _, suspected := finder.evidence[attribute]; !suspected {
		return
	}
	survivals, _ := finder.survivals.Get(attribute)
	for i, survival := range survivals {
		if !survival.told {
			survivals[i].told = true
			finder.unsharedSurvivals.add(survivor{attribute: attribute, upstream: survival.upstream})
			finder.changed = true
		}
	}
}

// addSurvivor adds the survivor to the interruptions of the attempts.
func (finder *Finder) addSurvivor(added survivor, attempts []message.RequestID, share bool) {
	var changed []message.RequestID
	for _, attempt := range attempts {
		row, known := finder.interruptions.Get(attempt)
		survivors := row.survivors[added.attribute]
		if !known || len(survivors) >= maxSurvivors || slices.Contains(survivors, added.upstream) {
			continue
		}
		if row.survivors == nil {
			row.survivors = make(map[uint64][]string)
		}
		row.survivors[added.attribute] = append(survivors, added.upstream)
		finder.interruptions.Put(attempt, row)
		changed = append(changed, attempt)
	}
	if len(changed) == 0 {
		return
	}
	finder.changed = true
	if share {
		finder.unsharedSurvivals.add(added, changed...)
	}
}
