package processes

import (
	"testing"
	"time"
)

// planted is a call and its runs with one fault, and the rule that it breaks; "" for none.
type planted struct {
	name  string
	rule  rule
	alter func(call *call, runs []*run) []*run
}

// TestCheckerFindsPlantedFaults checks the checker.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	for _, row := range []planted{
		{"whole", "", func(_ *call, runs []*run) []*run { return runs }},
		{"cut off", lost, cutAnswer},
		{"cut off after SIGTERM", lost, func(call *call, runs []*run) []*run {
			call.process.terminated = call.began
			return cutAnswer(call, runs)
		}},
		{"upstream broke off", "", func(call *call, runs []*run) []*run {
			runs[0].outcome = brokenOff
			return cutAnswer(call, runs)
		}},
		{"still at work at the end of the grace period", "", func(call *call, runs []*run) []*run {
			call.process.terminated = call.began.Add(-testGrace + time.Second)
			call.began = call.process.terminated
			runs[0].ended = time.Time{}
			return cutAnswer(call, runs)
		}},
		{"still at work beside a run that was left", "", func(call *call, runs []*run) []*run {
			call.process.terminated = call.ended.Add(-testGrace + time.Millisecond)
			call.began, runs[0].ended = call.process.terminated, time.Time{}
			return append(cutAnswer(call, runs), leftRun(call))
		}},
		{"cut off beside a run that broke off after it was left", lost, func(call *call, runs []*run) []*run {
			runs[0].outcome = brokenOff
			runs[0].ended = call.ended.Add(time.Second)
			return append(cutAnswer(call, runs), leftRun(call))
		}},
		{"sent late after SIGTERM", lost, func(call *call, runs []*run) []*run {
			call.process.terminated = call.began.Add(-lateSend - time.Second)
			return cutAnswer(call, runs)
		}},
		{"frozen", "", func(call *call, runs []*run) []*run {
			call.process.frozen = []span{{from: call.began, until: call.ended}}
			return cutAnswer(call, runs)
		}},
		{"read and closed", lost, func(call *call, _ []*run) []*run {
			call.ending, call.status, call.body = closed, 0, ""
			return nil
		}},
		{"abandoned", hung, func(call *call, runs []*run) []*run {
			call.ending, call.status, call.body = abandoned, 0, ""
			return runs
		}},
		{"abandoned without a deadline while the upstream is at work", "", func(call *call, runs []*run) []*run {
			call.plan.dialect = chatDialect{}
			call.ending, call.status, call.body = abandoned, 0, ""
			return runs
		}},
		{"abandoned without a deadline after the upstream's end", hung, func(call *call, runs []*run) []*run {
			call.plan.dialect = chatDialect{}
			call.ending, call.status, call.body = abandoned, 0, ""
			call.ended = runs[0].ended.Add(2 * callerPatience)
			return runs
		}},
		{"event missing", order, func(call *call, runs []*run) []*run {
			call.body = call.plan.eventText(1) + call.plan.eventText(3)
			return runs
		}},
		{"event twice", order, func(call *call, runs []*run) []*run {
			call.body = call.plan.eventText(1) + call.plan.eventText(1)
			return runs
		}},
		{"seems complete", order, func(call *call, runs []*run) []*run {
			call.body = call.plan.eventText(1)
			return runs
		}},
		{"refused and run", refused, func(call *call, runs []*run) []*run {
			call.status, call.seal = 503, ""
			return runs
		}},
		{"run twice", twice, func(call *call, runs []*run) []*run {
			call.plan.route = single
			return append(runs, runs[0])
		}},
		{"another's seal", mixed, func(call *call, runs []*run) []*run {
			call.seal = "other"
			return runs
		}},
		{"another status", mixed, func(call *call, runs []*run) []*run {
			call.status = 500
			return runs
		}},
		{"denied", denied, func(call *call, _ []*run) []*run {
			call.status, call.seal = 404, ""
			return nil
		}},
		{"altered", altered, func(_ *call, runs []*run) []*run {
			runs[0].altered = "body"
			return runs
		}},
	} {
		t.Run(row.name, func(t *testing.T) { row.check(t) })
	}
}

// leftRun returns a run at an upstream that the entry has left.
func leftRun(call *call) *run {
	return &run{id: call.plan.id, began: call.began, ended: call.began.Add(time.Millisecond), status: 200, outcome: cut}
}

const testGrace = 8 * time.Second

func cutAnswer(call *call, runs []*run) []*run {
	call.ending, call.body = cutOff, call.plan.eventText(1)
	return runs
}

func (planted planted) check(t *testing.T) {
	journal := newJournal()
	journal.grace = testGrace
	made := &call{
		plan: plan{dialect: platformDialect{}, id: "a-1", route: resumable, deadline: 10 * time.Second, events: 4}, process: &process{entry: "entry-1"},
		began: journal.start, sent: journal.start, ended: journal.start.Add(time.Second), ending: whole, status: 200, seal: "seal", id: "a-1",
	}
	made.body = made.plan.streamBody()
	done := &run{id: "a-1", seal: "seal", began: journal.start, ended: made.ended, status: 200, outcome: finished}
	journal.runs["a-1"] = planted.alter(made, []*run{done})
	journal.addCall(made)
	found := journal.check()
	var rules []rule
	for _, violation := range found.violations {
		rules = append(rules, violation.rule)
	}
	if planted.rule == "" && len(rules) > 0 || planted.rule != "" && (len(rules) != 1 || rules[0] != planted.rule) {
		t.Errorf("got %v, want %q", rules, planted.rule)
	}
}
