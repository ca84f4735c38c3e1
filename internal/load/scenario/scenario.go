// Package scenario reads the description of a load.
package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"endivepost/internal/config/document"
)

// Scenario is a load of several flows over a time.
type Scenario struct {
	Name     string            `json:"name"`
	Duration document.Duration `json:"duration"`
	Flows    []Flow            `json:"flows"`
	Faults   []Fault           `json:"faults,omitempty"`
	Answers  Answers           `json:"answers"`
}

// Flow is the arrivals of one class from one account: Poisson, open loop, at
// Rate a second, times Factor between From and Until.
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

// Fault is a control call to the engine with that number, at that time.
type Fault struct {
	At     document.Duration `json:"at"`
	Engine int               `json:"engine"`
	Body   json.RawMessage   `json:"body"`
}

// Answers are the settings of the engines, by which an answer is checked.
type Answers struct {
	Median    float64 `json:"median-tokens"`
	Spread    float64 `json:"spread"`
	MaxTokens int     `json:"most-tokens"`
}

// Parse reads and checks a scenario.
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
	return scenario, scenario.check()
}

func (scenario Scenario) check() error {
	var faults []error
	if scenario.Duration <= 0 {
		faults = append(faults, errors.New("duration: is missing: give one such as \"20s\""))
	}
	if len(scenario.Flows) == 0 {
		faults = append(faults, errors.New("flows: is empty: state at least one"))
	}
	for i, flow := range scenario.Flows {
		if flow.Rate <= 0 {
			faults = append(faults, fmt.Errorf("flows[%d].rate: must be above zero", i))
		}
		if (flow.Model == "") == (flow.Path == "") {
			faults = append(faults, fmt.Errorf("flows[%d]: needs exactly one of model and path", i))
		}
	}
	return errors.Join(faults...)
}

// RateAt returns the flow's arrivals a second at a time since the start.
func (flow Flow) RateAt(elapsed time.Duration) float64 {
	if flow.RateFactor > 0 && elapsed >= time.Duration(flow.From) && elapsed < time.Duration(flow.Until) {
		return flow.Rate * flow.RateFactor
	}
	return flow.Rate
}
