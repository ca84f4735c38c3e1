package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["idle"] = idle }

// idle: each user has a connection, sends a request on it and leaves it open: the
// configuration's idle_timeout_ms of 15 s says how long it may stay idle. Three of five
// machines are lost, and their users come to the others, which must go on to take connections.
func idle(stage *Stage) bool {
	const perMachine = 22
	stage.Store.Put("op/config", Config(7), 0)
	for i, id := range []string{"i-one", "i-two", "i-three"} {
		runner := &Runner{ID: id, Service: "app", Zone: fmt.Sprintf("zone-%c", 'a'+i), Slots: 64, Record: stage.Record, Store: stage.Store}
		runner.Start("v1")
	}
	maxDescriptors = 4100
	machines := stage.Machines("front-a", "front-b", "front-c", "front-d", "front-e")
	time.Sleep(3 * time.Second)

	watched := make([]*taken, len(machines))
	stop := make(chan struct{})
	var lost atomic.Bool
	for i, machine := range machines {
		watched[i] = newTaken()
		go watched[i].probe(machine, stop)
	}
	for i := range machines {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / perMachine)):
				}
				target := i
				if lost.Load() && i >= 2 {
					target = rand.IntN(2)
				}
				go watched[target].user(machines[target], stop)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if stage.Trouble {
		for _, machine := range machines[2:] {
			machine.Signal(syscall.SIGKILL)
		}
		lost.Store(true)
	}
	time.Sleep(90 * time.Second)
	close(stop)

	broken, text := false, ""
	const none = "always answered some; "
	for i, machine := range machines[:2] {
		tries, answers, span, at := watched[i].longestSilence()
		text += fmt.Sprintf("%s: %d connections tried, %d answered, ", machine.Name, tries, answers)
		if span == 0 {
			text += none
		} else {
			text += fmt.Sprintf("said it was ready and answered none for %.1f s from %.1f s on; ", span.Seconds(), at.Sub(stage.Record.start).Seconds())
		}
		broken = broken || span >= 3*time.Second
	}
	return stage.Verdict(broken, "%s(contact_ms is 3 s)", text)
}

// taken is what one machine did with the connections that were opened to it.
type taken struct {
	mutex sync.Mutex
	tries []opened
	// ready is when the readiness answer was 200.
	ready []time.Time
}

type opened struct {
	at       time.Time
	answered bool
}

func newTaken() *taken { return &taken{} }

// probe asks each second whether the machine is ready, on a kept connection.
func (taken *taken) probe(machine *Entry, stop chan struct{}) {
	client := http.Client{Timeout: 900 * time.Millisecond}
	for {
		at := time.Now()
		if response, err := client.Get("http://" + machine.Ready + "/api/readiness"); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				taken.mutex.Lock()
				taken.ready = append(taken.ready, at)
				taken.mutex.Unlock()
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Until(at.Add(time.Second))):
		}
	}
}

// user opens a connection, sends one request and leaves the connection open.
func (taken *taken) user(machine *Entry, stop chan struct{}) {
	taken.mutex.Lock()
	number := len(taken.tries)
	taken.tries = append(taken.tries, opened{at: time.Now()})
	taken.mutex.Unlock()
	conn, err := net.DialTimeout("tcp", machine.Front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(conn, "GET /look/x HTTP/1.1\r\nHost: front.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\nApi-Key: key-of-tenant-one\r\n\r\n", newID())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	taken.mutex.Lock()
	taken.tries[number].answered = true
	taken.mutex.Unlock()
	_ = conn.SetDeadline(time.Time{})
	go func() { <-stop; _ = conn.Close() }()
	// The server closes it.
	_, _ = conn.Read(make([]byte, 1))
}

// longestSilence returns the longest span in which no connection that was opened got an
// answer, though seven or more were tried and all questions were answered that it was ready.
func (taken *taken) longestSilence() (tries, answers int, span time.Duration, at time.Time) {
	taken.mutex.Lock()
	defer taken.mutex.Unlock()
	first, count := time.Time{}, 0
	for _, try := range taken.tries {
		tries++
		if try.answered {
			answers++
			first, count = time.Time{}, 0
			continue
		}
		if first.IsZero() {
			first = try.at
		}
		count++
		if count >= 7 && try.at.Sub(first) > span && taken.saidReady(first, try.at) {
			span, at = try.at.Sub(first), first
		}
	}
	return tries, answers, span, at
}

// saidReady returns whether the machine said that it was ready at least every two seconds.
func (taken *taken) saidReady(from, to time.Time) bool {
	last := from.Add(-2 * time.Second)
	for _, at := range taken.ready {
		if at.After(last) && at.Before(to) {
			if at.Sub(last) > 2*time.Second+100*time.Millisecond && at.After(from) {
				return false
			}
			last = at
		}
	}
	return to.Sub(last) <= 2*time.Second+100*time.Millisecond
}
