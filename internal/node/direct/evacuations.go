package direct

import (
	"time"

	"endivepost/internal/core/event"
)

// maxUnsentTime is how long after the choice of its upstream an attempt is still sent. If more
// time has passed, this process was paused, and the upstream's domain may have been evacuated
// meanwhile: the upstream is chosen again. Opening a connection takes dialTimeout at most.
const maxUnsentTime = 2 * time.Second

// withdrawDomain withdraws the attempts at upstreams of the domain of which nothing was sent
// yet. The others go on.
func (entry *Entry) withdrawDomain(domain string) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	for _, commands := range entry.active {
		commands.withdrawFrom(domain)
	}
}

// withdrawFrom withdraws the latest attempt if its upstream is in the domain.
func (commands *commands) withdrawFrom(domain string) {
	commands.mutex.Lock()
	defer commands.mutex.Unlock()
	commands.withdrawn = commands.withdrawn || commands.domain == domain
}

// outdated returns whether the attempt's upstream was chosen too long before the uptime to be
// sent the request without another choice.
func outdated(attempt event.Attempt, uptime time.Duration) bool {
	return uptime-attempt.ChosenAt > maxUnsentTime
}
