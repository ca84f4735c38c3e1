package sensitivity_test

import (
	"testing"
	"time"

	"endivepost/internal/policy/sensitivity"
)

// engineAt returns an engine that prefills so many tokens per ms.
func engineAt(tokensPerMs float64, tokensPerEvent int) sensitivity.Engine {
	return sensitivity.Engine{
		TokensPerEvent: tokensPerEvent,
		PrefillTime: func(tokens int) time.Duration {
			return time.Duration(float64(tokens) / tokensPerMs * float64(time.Millisecond))
		},
	}
}

// class is a class with the mean lengths of its prompts and responses in tokens.
type class struct {
	name           string
	between        time.Duration
	prompt, output int
}

var (
	chat  = class{"chat", 200 * time.Millisecond, 1460, 172}
	reply = class{"reply", 300 * time.Millisecond, 9190, 52}
	brief = class{"brief", 800 * time.Millisecond, 17_020, 120}

	summary = class{"summary", 400 * time.Millisecond, 826, 294}
	note    = class{"note", 600 * time.Millisecond, 2368, 24}
	plan    = class{"plan", 1500 * time.Millisecond, 11_992, 384}
)

// TestSensitive checks which classes are latency-sensitive, on engines of the usual speed,
// of half and of twice that, as their gaps show while they prefill. The classes differ
// between the pools in targets, lengths and tokens per event.
func TestSensitive(t *testing.T) {
	const usual = 60.0
	cases := []struct {
		name           string
		classes        []class
		tokensPerEvent int
		// gap is the time between events while an engine prefills, 0 for no observation.
		gap   time.Duration
		speed float64
		want  map[string]bool
	}{
		{"short responses, prior", []class{chat, reply, brief}, 5, 0, usual, map[string]bool{"chat": true}},
		{"short responses", []class{chat, reply, brief}, 5, 400 * time.Millisecond, usual, map[string]bool{"chat": true}},
		{"long responses, prior", []class{summary, note, plan}, 6, 0, usual, map[string]bool{"summary": true}},
		{"long responses", []class{summary, note, plan}, 6, 550 * time.Millisecond, usual, map[string]bool{"summary": true}},
		{"long responses, engines of half the speed", []class{summary, note, plan}, 6, 1100 * time.Millisecond, usual / 2, map[string]bool{"summary": true}},
		{"long responses, engines of twice the speed", []class{summary, note, plan}, 6, 240 * time.Millisecond, 2 * usual, map[string]bool{}},
		{"no target between tokens", []class{{"draft", 0, 500, 300}}, 5, 400 * time.Millisecond, usual, map[string]bool{}},
		{"unknown lengths of responses", []class{{"chat", 200 * time.Millisecond, 1460, 0}}, 5, 0, usual, map[string]bool{"chat": true}},
	}
	for _, row := range cases {
		classifier := sensitivity.New()
		engine := engineAt(row.speed, row.tokensPerEvent)
		for range 10_000 {
			classifier.ObserveGap(engine, row.gap, 1)
		}
		for _, class := range row.classes {
			classifier.ObserveRequest(sensitivity.Class{Name: class.name, BetweenTokens: class.between}, class.prompt, class.output)
		}
		for _, class := range row.classes {
			if got := classifier.Sensitive(time.Minute, engine, class.name); got != row.want[class.name] {
				t.Errorf("%s: %s: got %t, want %t", row.name, class.name, got, row.want[class.name])
			}
		}
	}
}

// TestSensitiveIsStable guards against a class that changes back and forth while the gap
// varies around its target: each change moves its streams to other engines.
func TestSensitiveIsStable(t *testing.T) {
	classifier := sensitivity.New()
	engine := engineAt(60, 6)
	changes, last := 0, true
	for second := range 600 {
		gap := 330 * time.Millisecond
		if second%20 < 10 {
			gap = 370 * time.Millisecond
		}
		for range 100 {
			classifier.ObserveGap(engine, gap, 1)
		}
		classifier.ObserveRequest(sensitivity.Class{Name: summary.name, BetweenTokens: summary.between}, summary.prompt, summary.output)
		if got := classifier.Sensitive(time.Duration(second)*time.Second, engine, summary.name); got != last {
			changes++
			last = got
		}
	}
	if changes > 1 {
		t.Errorf("got %d changes in ten minutes, want at most 1", changes)
	}
}
