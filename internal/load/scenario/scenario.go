// Package scenario parses scenarios, the JSON descriptions of a load.
package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"endivepost/internal/config/document"
)

// Scenario is a load of several flows for a duration, with faults of engines.
type Scenario struct {
	Name     string            `json:"name"`
	Duration document.Duration `json:"duration"`
	Flows    []Flow            `json:"flows"`
	Faults   []Fault           `json:"faults,omitempty"`
	Answers  Answers           `json:"answers"`
}

// Flow is the load of one class from one account: an open-loop Poisson process of Rate
// arrivals per second, multiplied by RateFactor (0 for none) between From and Until. It
// sends chat completions to Model or, with Path, calls of a service. Targets of 0 are
// not checked. With HonourRetryAfter a refused call is retried once after its
// Retry-After.
type Flow struct {
	Class            string            `json:"class"`
	Key              string            `json:"key"`
	Model            string            `json:"model,omitempty"`
	Path             string            `json:"path,omitempty"`
	Rate             float64           `json:"rate"`
	RateFactor       float64           `json:"factor,omitempty"`
	From             document.Duration `json:"from,omitempty"`
	Until            document.Duration `json:"until,omitempty"`
	PromptChars      int               `json:"prompt-chars"`
	Stream           bool              `json:"stream"`
	FirstToken       document.Duration `json:"first-token,omitempty"`
	BetweenTokens    document.Duration `json:"between-tokens,omitempty"`
	WholeAnswer      document.Duration `json:"whole-answer,omitempty"`
	HonourRetryAfter bool              `json:"honour-retry-after,omitempty"`
}

// Fault is a control call that injects a fault: Body is sent to the engine with the
// index Engine when At has passed since the start.
type Fault struct {
	At     document.Duration `json:"at"`
	Engine int               `json:"engine"`
	Body   json.RawMessage   `json:"body"`
}

// Answers are the response length settings of the engines, from which the expected
// responses are derived.
type Answers struct {
	Median    float64 `json:"median-tokens"`
	Spread    float64 `json:"spread"`
	MaxTokens int     `json:"most-tokens"`
}

// Parse parses and validates a scenario. Unknown fields are errors.
func Parse(raw []byte) (scenario Scenario, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("scenario: %w", err)
		}
	}()
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&scenario); err != nil {
		return Scenario{}, err
	}
	return scenario, scenario.validate()
}

func (scenario Scenario) validate() error {
	var problems []error
	if scenario.Duration <= 0 {
		problems = append(problems, fmt.Errorf("duration: must be above zero, got %v: give one such as \"20s\"", time.Duration(scenario.Duration)))
	}
	if len(scenario.Flows) == 0 {
		problems = append(problems, errors.New("flows: is empty: give at least one"))
	}
	for i, flow := range scenario.Flows {
		if flow.Rate <= 0 {
			problems = append(problems, fmt.Errorf("flows[%d].rate: must be above zero, got %v", i, flow.Rate))
		}
		if (flow.Model == "") == (flow.Path == "") {
			problems = append(problems, fmt.Errorf("flows[%d]: needs exactly one of model and path, got %q and %q", i, flow.Model, flow.Path))
		}
	}
	return errors.Join(problems...)
}

// RateAt returns the flow's arrivals per second at the time since the start.
func (flow Flow) RateAt(elapsed time.Duration) float64 {
	if flow.RateFactor > 0 && elapsed >= time.Duration(flow.From) && elapsed < time.Duration(flow.Until) {
		return flow.Rate * flow.RateFactor
	}
	return flow.Rate
}
