// Package guard bounds the memory and descriptors that callers of a process take. It acts at
// their connections, since net/http reads a header section before any handler runs.
package guard

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"endivepost/internal/policy/bytebudget"
)

// Settings are the limits of the process. 0 is no limit.
type Settings struct {
	// MemoryBytes is the memory of the VM, MaxDescriptors the number of files and connections
	// that the process may have open.
	MemoryBytes    int64
	MaxDescriptors int
	// Rejected is called for each connection or request that a limit rejects. It must not
	// block.
	Rejected func(reason Reason, address string)
}

// Reason says why a connection was rejected or closed. It is a label of metrics and log lines.
type Reason string

// The reasons.
const (
	Memory         Reason = "memory"
	Descriptors    Reason = "descriptors"
	StalledRequest Reason = "stalled"
	IdleConnection Reason = "idle"
	LongHeader     Reason = "long-header"
	LessUrgent     Reason = "less-urgent"
)

// Reasons lists them all.
var Reasons = []Reason{Memory, Descriptors, StalledRequest, IdleConnection, LongHeader, LessUrgent}

const (
	// processBytes is what a process without callers takes: 22 MiB and the state of upstreams
	// and peers. Callers get callersShare percent of the rest, operators and peers otherShare:
	// the garbage collector leaves freed memory in use for a while.
	processBytes     = 40 << 20
	callersShare     = 60
	otherShare       = 12
	fileDescriptors  = 200
	percent          = 100
	callersPercent   = 50
	upstreamsPercent = 40
	peersPercent     = 5
	operatorsPercent = 5
	// memoryLimitPercent is the garbage collector's limit. The rest is for the program's
	// code, of which 15 MiB are resident, and for memory between two collections.
	memoryLimitPercent = 75
)

// MiB returns the count in bytes.
func MiB(count int) int64 { return int64(count) << 20 }

// The least limits with which a process can serve: below, it has no room for a single body of
// 4 MiB and what an entry with sidecars makes of it, or no descriptors beside those for files.
const (
	minMemoryMiB   = 96
	minDescriptors = 2 * fileDescriptors
)

// Check checks the limits, given with the names that errors name; 0 is no limit.
func Check(memoryName string, memoryMiB int, descriptorsName string, descriptors int) error {
	var problems []error
	if memoryMiB != 0 && memoryMiB < minMemoryMiB {
		problems = append(problems, fmt.Errorf("%s: got %d, want at least %d, or 0 for no limit", memoryName, memoryMiB, minMemoryMiB))
	}
	if descriptors != 0 && descriptors < minDescriptors {
		problems = append(problems, fmt.Errorf("%s: got %d, want at least %d, or 0 for no limit", descriptorsName, descriptors, minDescriptors))
	}
	return errors.Join(problems...)
}

// MemoryLimit returns the garbage collector's memory limit for the VM's memory, 0 for none.
func MemoryLimit(memoryBytes int64) int64 { return memoryBytes * memoryLimitPercent / percent }

// Guard holds the budgets of one process.
type Guard struct {
	settings  Settings
	Callers   *Group
	Peers     *Group
	Operators *Group
}

// New returns the budgets that follow from the settings.
func New(settings Settings) *Guard {
	callers, others := int64(0), int64(0)
	if settings.MemoryBytes > processBytes {
		callers = (settings.MemoryBytes - processBytes) * callersShare / percent
		others = (settings.MemoryBytes - processBytes) * otherShare / percent
	}
	otherBudget := bytebudget.New(others)
	return &Guard{
		settings:  settings,
		Callers:   newGroup(settings, bytebudget.New(callers), settings.reserve(callersPercent)),
		Peers:     newGroup(settings, otherBudget, settings.reserve(peersPercent)),
		Operators: newGroup(settings, otherBudget, settings.reserve(operatorsPercent)),
	}
}

// MaxUpstreams returns the reserve of descriptors for upstreams, 0 for no limit.
func (guard *Guard) MaxUpstreams() int { return guard.settings.reserve(upstreamsPercent) }

func (settings Settings) reserve(share int) int {
	if settings.MaxDescriptors <= 0 {
		return 0
	}
	return max((settings.MaxDescriptors-fileDescriptors)*share/percent, 1)
}

// Limits are those of the configuration for a request's header section and its connection.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits apply where the configuration names none.
var DefaultLimits = Limits{HeaderBytes: 32 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}

// Group is the connections that share a budget of bytes and a reserve of descriptors.
type Group struct {
	settings Settings
	budget   *bytebudget.Budget
	// maxOpen is the reserve of descriptors, 0 for no limit.
	maxOpen int
	limits  atomic.Pointer[Limits]
	// refusedAt is when a connection was last not accepted, scannedAt when a victim was last
	// looked for in vain for a request of the tier (0 for a new connection or an unknown
	// tier), in Unix nanoseconds.
	refusedAt atomic.Int64
	scannedAt [tiers]atomic.Int64
	// closing counts the open connections that are given up.
	closing atomic.Int64
	mutex   sync.Mutex
	open    map[*Conn]struct{}
}

func newGroup(settings Settings, budget *bytebudget.Budget, maxOpen int) *Group {
	group := &Group{settings: settings, budget: budget, maxOpen: maxOpen, open: make(map[*Conn]struct{})}
	group.limits.Store(&DefaultLimits)
	return group
}

// SetLimits sets the limits for requests from now on. A limit of 0 is the default one.
func (group *Group) SetLimits(limits Limits) {
	group.limits.Store(&Limits{
		HeaderBytes:   cmp.Or(max(limits.HeaderBytes, 0), DefaultLimits.HeaderBytes),
		HeaderTimeout: cmp.Or(max(limits.HeaderTimeout, 0), DefaultLimits.HeaderTimeout),
		IdleTimeout:   cmp.Or(max(limits.IdleTimeout, 0), DefaultLimits.IdleTimeout),
	})
}

// Use is what the connections of a group take at the moment, and its limits (0 for none).
type Use struct {
	Bytes, MaxBytes int64
	Open, MaxOpen   int
}

// Use returns what is in use.
func (group *Group) Use() Use {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return Use{Bytes: group.budget.Used(), MaxBytes: group.budget.Total(), Open: len(group.open), MaxOpen: group.maxOpen}
}

// refusalMemory is how long a group counts as unable to accept after it refused a connection.
const refusalMemory = time.Second

// CanAccept reports whether the group took all connections lately.
func (group *Group) CanAccept(now time.Time) bool {
	return now.UnixNano()-group.refusedAt.Load() > refusalMemory.Nanoseconds()
}

func (group *Group) reject(reason Reason, address string) {
	if group.settings.Rejected != nil {
		group.settings.Rejected(reason, address)
	}
}

// Listen returns the listener with the connections of the group.
func (group *Group) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, group: group}
}

type listener struct {
	net.Listener
	group *Group
}

// Accept implements net.Listener. It rejects connections for which there is no room.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		inner, err := listener.Listener.Accept()
		now := time.Now()
		if err != nil {
			// The server tries again after a while: by then there may be a descriptor.
			if temporary, ok := err.(interface{ Temporary() bool }); ok && temporary.Temporary() {
				listener.group.refusedAt.Store(now.UnixNano())
				listener.group.evict(now, nil, Descriptors, 1)
			}
			return nil, err
		}
		if conn, ok := listener.group.admit(now, inner); ok {
			return conn, nil
		}
	}
}

// admit takes the connection into the group, or rejects and closes it.
func (group *Group) admit(now time.Time, inner net.Conn) (*Conn, bool) {
	conn := newConn(group, inner, now)
	if !group.hasDescriptor(now) {
		conn.refuse(now, Descriptors)
		return nil, false
	}
	if !group.budget.TryTake(connBytes, conn.address) {
		if !group.evict(now, conn, Memory, connBytes) {
			conn.refuse(now, Memory)
			return nil, false
		}
		// The evicted connection gives its bytes back once it is closed.
		group.budget.Take(connBytes, conn.address)
	}
	conn.base = connBytes
	group.mutex.Lock()
	group.open[conn] = struct{}{}
	group.mutex.Unlock()
	conn.startIdle(now)
	return conn, true
}

// closingShare is the part of the reserve, one in so many, by which connections may exceed it
// while others are being closed: these close only once their requests are answered.
const closingShare = 16

// hasDescriptor reports whether there is room for another connection, and closes one if there
// is little.
func (group *Group) hasDescriptor(now time.Time) bool {
	group.mutex.Lock()
	count := len(group.open)
	group.mutex.Unlock()
	switch {
	case group.maxOpen <= 0 || count < group.maxOpen:
		return true
	case count > group.maxOpen+group.maxOpen/closingShare:
		return false
	}
	return count-int(group.closing.Load()) < group.maxOpen || group.evict(now, nil, Descriptors, 1)
}

const (
	// stallTime is how long a request that is being read may make no progress until it is
	// given up under pressure.
	stallTime = time.Second
	// idleTime is how long a connection is left open at least without a request: one that was
	// just opened is about to send its first.
	idleTime = 200 * time.Millisecond
	// scanInterval is the time after a search for victims in vain until the next one, since
	// each looks at all connections.
	scanInterval = 10 * time.Millisecond
	// tiers bounds the tiers that are told apart in that.
	tiers = 16
)

// victim is a connection that may be closed, and why.
type victim struct {
	conn   *Conn
	state  state
	reason Reason
	rank   int
}

// evict closes connections until they release the amount, of bytes or of descriptors, for the
// connection; nil for a new one. It returns whether it found any.
func (group *Group) evict(now time.Time, wanting *Conn, short Reason, amount int64) bool {
	tier := 0
	if wanting != nil {
		tier = wanting.snapshot().tier
	}
	scannedAt := &group.scannedAt[min(max(tier, 0), tiers-1)]
	if now.UnixNano()-scannedAt.Load() < scanInterval.Nanoseconds() {
		return false
	}
	found := group.victims(now, wanting, short, amount)
	evicted := false
	for _, victim := range found {
		if amount <= 0 {
			return evicted
		}
		if !victim.conn.evict(victim.state.phase, victim.reason) {
			continue
		}
		evicted = true
		if short == Memory {
			amount -= victim.state.bytes
		} else {
			amount--
		}
	}
	if !evicted {
		scannedAt.Store(now.UnixNano())
	}
	return evicted
}

// victims returns the connections that may be closed, in order. For a descriptor that is the
// longest idle connection, then the request that has stalled longest. For memory it is the
// other way round, and an idle connection is closed only if that suffices, since it holds
// little; the least urgent request of those that are less urgent than the one that wants the
// memory follows.
func (group *Group) victims(now time.Time, wanting *Conn, short Reason, amount int64) []victim {
	idleRank, stalledRank := 0, 1
	if short == Memory {
		idleRank, stalledRank = 1, 0
	}
	tier := 0
	if wanting != nil {
		tier = wanting.snapshot().tier
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	var found []victim
	for conn := range group.open {
		state := conn.snapshot()
		stalled := (state.phase == inHeader || state.phase == inBody) && now.Sub(state.since) >= stallTime
		switch {
		case conn == wanting || state.evicted:
		case state.phase == idle && now.Sub(state.since) >= idleTime && (short == Descriptors || wanting != nil && state.bytes >= amount):
			found = append(found, victim{conn, state, IdleConnection, idleRank})
		case stalled:
			found = append(found, victim{conn, state, StalledRequest, stalledRank})
		case short == Memory && state.phase == inBody && tier > 0 && state.tier > tier:
			found = append(found, victim{conn, state, LessUrgent, idleRank + state.tier})
		}
	}
	slices.SortFunc(found, func(left, right victim) int {
		if left.rank != right.rank && left.reason == LessUrgent && right.reason == LessUrgent {
			return cmp.Compare(right.rank, left.rank)
		}
		return cmp.Or(cmp.Compare(left.rank, right.rank), left.state.since.Compare(right.state.since))
	})
	return found
}
