package crashcause

import (
	"slices"
	"time"

	"endivepost/internal/wire/message"
)

// trial is a request that was sent although one of its attributes is blamed. Ended is true
// once it is known to have ended, or to go on, without an interruption.
type trial struct {
	attempt message.RequestID
	at      time.Duration
	ended   bool
}

const (
	// trialDelay is the time from the latest crash until a blamed attribute is tried again:
	// upstreams that crashed may be back.
	trialDelay = MinRestartTime
	// minTrialGap is the time from a trial that was interrupted to the next one. It grows by
	// trialGapFactor with each one, up to maxTrialGap.
	minTrialGap    = 5 * time.Second
	trialGapFactor = 6
	maxTrialGap    = 5 * time.Minute
	// maxTrialTime is how long a trial of which nothing is heard holds up the next one.
	maxTrialTime = 3 * time.Second
	// maxTrials bounds the trials of an attribute, maxTried the attributes with trials.
	maxTrials = 16
	maxTried  = 1024
)

// Cause returns whether one of the attributes is blamed for crashes, and the time until a
// request with it may be tried.
func (finder *Finder) Cause(now time.Duration, attributes []uint64) (wait time.Duration, blamed bool) {
	for _, attribute := range attributes {
		if cause, found := finder.causes[attribute]; found {
			blamed = true
			wait = max(wait, finder.nextTrial(attribute, cause)-now)
		}
	}
	return wait, blamed
}

// nextTrial returns when a request with the attribute may be tried.
func (finder *Finder) nextTrial(attribute uint64, cause cause) time.Duration {
	next := cause.latest + trialDelay
	gap := minTrialGap
	trials, _ := finder.trials.Get(attribute)
	for _, trial := range trials {
		row, _ := finder.interruptions.Get(trial.attempt)
		switch {
		case row.upstream != "" && !row.refuted:
			next = max(next, row.at+gap)
			gap = min(gap*trialGapFactor, maxTrialGap)
		case !trial.ended:
			next = max(next, trial.at+maxTrialTime)
		}
	}
	return next
}

// Evidence returns the upstreams that crashed under those of the attributes that are blamed,
// and those that survived them since.
func (finder *Finder) Evidence(attributes []uint64) (crashed, survived []string) {
	for _, attribute := range attributes {
		if cause, found := finder.causes[attribute]; found {
			crashed = append(crashed, cause.evidence.Crashed...)
			survived = append(survived, cause.evidence.Survivors...)
		}
	}
	return crashed, survived
}

// Try records that an attempt is sent as a trial of those of its attributes that are blamed.
// Cause must have returned no wait.
func (finder *Finder) Try(now time.Duration, attempt message.RequestID, attributes []uint64) {
	for _, attribute := range attributes {
		if _, blamed := finder.causes[attribute]; blamed {
			finder.addTrial(now, message.Trial{Attribute: attribute, Attempt: attempt}, true)
		}
	}
}

// EndTrial records that a trial ended without an interruption, or goes on although its
// response has been under way for SurvivalTime.
func (finder *Finder) EndTrial(now time.Duration, attempt message.RequestID, attributes []uint64) {
	for _, attribute := range attributes {
		trials, _ := finder.trials.Get(attribute)
		for _, known := range trials {
			if known.attempt == attempt && !known.ended {
				finder.addTrial(now, message.Trial{Attribute: attribute, Attempt: attempt, Age: now - known.at, Ended: true}, true)
			}
		}
	}
}

// addTrial adds what is known of a trial, and tells it to the peers if share is true.
func (finder *Finder) addTrial(now time.Duration, report message.Trial, share bool) {
	trials, found := finder.trials.Get(report.Attribute)
	index := slices.IndexFunc(trials, func(known trial) bool { return known.attempt == report.Attempt })
	switch {
	case report.Age > memoryTime-minRemaining, index >= 0 && trials[index].ended, index >= 0 && !report.Ended:
		return
	case index >= 0:
		trials = slices.Clone(trials)
		trials[index].ended = true
	default:
		trials = append(slices.Clone(trials), trial{attempt: report.Attempt, at: now - report.Age, ended: report.Ended})
	}
	slices.SortStableFunc(trials, func(left, right trial) int { return int(left.at - right.at) })
	if !found && finder.trials.Len() >= maxTried {
		finder.trials.DeleteOldest()
	}
	finder.trials.Put(report.Attribute, trials[max(len(trials)-maxTrials, 0):])
	if share {
		finder.unshared.Trials = append(finder.unshared.Trials, report)
	}
}

// allTrials returns all trials, for a peer that has just connected.
func (finder *Finder) allTrials(now time.Duration) []message.Trial {
	var reports []message.Trial
	for _, attribute := range finder.trials.Keys() {
		trials, _ := finder.trials.Get(attribute)
		for _, trial := range trials {
			reports = append(reports, message.Trial{Attribute: attribute, Attempt: trial.attempt, Age: now - trial.at, Ended: trial.ended})
		}
	}
	return reports
}

// forgetTrials deletes the trials that are too old to be told.
func (finder *Finder) forgetTrials(now time.Duration) {
	for _, attribute := range finder.trials.Keys() {
		trials, _ := finder.trials.Get(attribute)
		trials = slices.DeleteFunc(slices.Clone(trials), func(trial trial) bool { return now-trial.at >= memoryTime })
		if len(trials) == 0 {
			finder.trials.Delete(attribute)
			continue
		}
		finder.trials.Put(attribute, trials)
	}
}
