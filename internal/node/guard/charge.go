package guard

import (
	"bytes"
	"time"
)

// What is charged for a connection and a request. As of Go 1.26 the buffers and the stack of a
// connection take 14 KiB, and a line of a header section 90 bytes in the map of the request and
// again in that sent upstream. Each byte is in the request, in the request sent upstream and in
// the buffer that is written.
const (
	connBytes      = 16 << 10
	requestBytes   = 16 << 10
	headerLineCost = 192
	headerByteCost = 3
)

// section measures a header section while it is being read.
type section struct {
	bytes int
	lines int
	// filled is set while the current line has a byte, ended at the empty line.
	filled bool
	ended  bool
}

// add adds bytes up to the end of the section. Empty lines before it do not end it.
func (section *section) add(data []byte) {
	for len(data) > 0 && !section.ended {
		length := bytes.IndexByte(data, '\n')
		line := data
		if length >= 0 {
			line = data[:length]
		}
		section.filled = section.filled || len(bytes.Trim(line, "\r")) > 0
		if length < 0 {
			section.bytes += len(data)
			return
		}
		section.bytes += length + 1
		section.ended = !section.filled && section.lines > 0
		if section.filled {
			section.lines++
		}
		section.filled = false
		data = data[length+1:]
	}
}

func (section *section) cost() int64 {
	return requestBytes + int64(section.bytes)*headerByteCost + int64(section.lines)*headerLineCost
}

// chargeHeader charges bytes of a header section. It returns why they are not taken, or "".
func (conn *Conn) chargeHeader(data []byte) Reason {
	conn.mutex.Lock()
	conn.section.add(data)
	measured := conn.section
	conn.mutex.Unlock()
	if measured.bytes > conn.group.limits.Load().HeaderBytes+headerMargin {
		return LongHeader
	}
	if !conn.chargeUpTo(measured.cost()) {
		return Memory
	}
	return ""
}

// chargeUpTo charges what the cost is above what the request is charged already.
func (conn *Conn) chargeUpTo(cost int64) bool {
	conn.mutex.Lock()
	more := cost - conn.early
	conn.mutex.Unlock()
	return more <= 0 || conn.take(more)
}

// take charges bytes for the request. It gives up others if there are none left.
func (conn *Conn) take(count int64) bool {
	deadline := time.Time{}
	for {
		released := conn.group.budget.Released()
		if conn.tryTake(count) {
			return true
		}
		now := time.Now()
		found := conn.group.evict(now, conn, Memory, count)
		switch {
		case deadline.IsZero() && !found, !deadline.IsZero() && now.After(deadline):
			return false
		case deadline.IsZero():
			deadline = now.Add(releaseWait)
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-released:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (conn *Conn) tryTake(count int64) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	try := conn.group.budget.TryTake
	if conn.phase == inBody {
		try = conn.group.budget.TryTakeBody
	}
	if conn.account == "" {
		if !try(count, conn.address) {
			return false
		}
		conn.early += count
		return true
	}
	if !try(count, conn.address, conn.account) {
		return false
	}
	conn.late += count
	return true
}

// Charge charges bytes that the request has already taken, whether or not there is room: it
// has run and is not rejected any more.
func (conn *Conn) Charge(count int) {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.group.budget.Take(int64(count), conn.address)
	conn.early += int64(count)
}

// Classify sets the account and tier of the request, once they are known.
func (conn *Conn) Classify(account string, tier int) {
	if conn == nil {
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.tier = tier
	if account != "" {
		conn.account = "account " + account
	}
}

// release gives back what the request is charged. The mutex must be held.
func (conn *Conn) release() {
	conn.group.budget.Release(conn.early, conn.address)
	conn.group.budget.Release(conn.late, conn.address, conn.account)
	conn.early, conn.late, conn.account, conn.tier = 0, 0, "", 0
}
