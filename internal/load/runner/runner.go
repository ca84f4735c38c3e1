// Package runner generates the load of a scenario and measures the responses.
package runner

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"endivepost/internal/load/report"
	"endivepost/internal/load/scenario"
	"endivepost/internal/standin/engine"
	"endivepost/internal/standin/script"
)

// Runner is an open-loop load generator: slow responses do not delay later calls.
type Runner struct {
	scenario scenario.Scenario
	settings Settings
	client   *http.Client
	report   *report.Report
	wait     sync.WaitGroup
}

// Settings of a Runner. Entries and Engines are addresses; Engines are the engine
// stand-ins, for faults and the count of generated tokens.
type Settings struct {
	Entries []string
	Engines []string
	Seed    uint64
}

const (
	callTimeout  = 2 * time.Minute
	maxIdleConns = 4096
	alphabet     = "abcdefghijklmnopqrstuvwxyz "
)

// New returns a runner for the scenario.
func New(described scenario.Scenario, settings Settings) *Runner {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns}
	return &Runner{
		scenario: described, settings: settings, report: report.New(),
		client: &http.Client{Transport: transport, Timeout: callTimeout},
	}
}

// Run generates the load and returns the result after all calls have ended.
func (runner *Runner) Run(ctx context.Context) report.Summary {
	before := runner.tokensGenerated(ctx)
	for i, flow := range runner.scenario.Flows {
		runner.wait.Add(1)
		go runner.send(ctx, flow, rand.New(rand.NewPCG(runner.settings.Seed, uint64(i))))
	}
	for _, fault := range runner.scenario.Faults {
		go runner.inject(ctx, fault)
	}
	runner.wait.Wait()
	return runner.report.Summary(runner.scenario.Name, runner.settings.Seed, runner.tokensGenerated(ctx)-before)
}

// send makes the calls of one flow at their arrival times.
func (runner *Runner) send(ctx context.Context, flow scenario.Flow, random *rand.Rand) {
	defer runner.wait.Done()
	begin := time.Now()
	next := time.Duration(0)
	for {
		next += time.Duration(random.ExpFloat64() / flow.RateAt(next) * float64(time.Second))
		if next >= time.Duration(runner.scenario.Duration) || !sleepUntil(ctx, begin.Add(next)) {
			return
		}
		prompt := newPrompt(random, flow.PromptChars)
		entry := runner.settings.Entries[random.IntN(len(runner.settings.Entries))]
		runner.wait.Add(1)
		go runner.call(ctx, flow, entry, prompt, false)
	}
}

// sleepUntil waits until the time. It returns false if the context ends before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func newPrompt(random *rand.Rand, length int) string {
	letters := make([]byte, length)
	for i := range letters {
		letters[i] = alphabet[random.IntN(len(alphabet))]
	}
	return string(letters)
}

// call makes one call. If the flow honours Retry-After, a refused call is retried
// once.
func (runner *Runner) call(ctx context.Context, flow scenario.Flow, entry, prompt string, retried bool) {
	defer runner.wait.Done()
	sample, retryAfter := runner.exchange(ctx, flow, entry, prompt)
	sample.Retried = retried
	runner.report.Add(sample)
	if retried || !flow.HonourRetryAfter || retryAfter == 0 || !sleepUntil(ctx, time.Now().Add(retryAfter)) {
		return
	}
	runner.wait.Add(1)
	go runner.call(ctx, flow, entry, prompt, true)
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

// exchange sends one request and returns its sample and its Retry-After, 0 for none.
func (runner *Runner) exchange(ctx context.Context, flow scenario.Flow, entry, prompt string) (report.Sample, time.Duration) {
	sample := report.Sample{Flow: flow, Outcome: "no-answer"}
	request, err := newRequest(ctx, flow, entry, prompt)
	if err != nil {
		return sample, 0
	}
	begin := time.Now()
	response, err := runner.client.Do(request)
	if err != nil {
		return sample, 0
	}
	defer func() { _ = response.Body.Close() }()
	text := runner.read(response, begin, &sample)
	sample.TotalLatency = time.Since(begin)
	// A streamed response has its outcome in the trailer, any other in the header.
	sample.Outcome = response.Header.Get("Endivepost-Outcome") + response.Trailer.Get("Endivepost-Outcome")
	if sample.Outcome == "complete" && flow.Model != "" {
		answers := runner.scenario.Answers
		expected := script.New(flow.Model, prompt, answers.Median, answers.Spread, answers.MaxTokens)
		sample.Tokens = expected.Len()
		sample.WrongContent = text != expected.Text()
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return sample, time.Duration(seconds) * time.Second
}

func newRequest(ctx context.Context, flow scenario.Flow, entry, prompt string) (*http.Request, error) {
	path := flow.Path
	body := []byte(prompt)
	if flow.Model != "" {
		path = "/v1/chat/completions"
		chat := chatRequest{Model: flow.Model, Stream: flow.Stream, Messages: []chatMessage{{Role: "user", Content: prompt}}}
		encoded, err := json.Marshal(chat)
		if err != nil {
			return nil, err
		}
		body = encoded
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+flow.Key)
	request.Header.Set("Endivepost-Class", flow.Class)
	return request, nil
}

// completion has the fields of a response or event that hold its text.
type completion struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

func (answer completion) text() string {
	if len(answer.Choices) == 0 {
		return ""
	}
	return answer.Choices[0].Delta.Content + answer.Choices[0].Message.Content
}

// read returns the text of the response and records the times of its tokens. The tokens
// of a response that is not streamed all count as received at its end.
func (runner *Runner) read(response *http.Response, begin time.Time, sample *report.Sample) string {
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		var answer completion
		body, _ := io.ReadAll(response.Body)
		sample.TimeToFirstToken = time.Since(begin)
		_ = json.Unmarshal(body, &answer)
		return answer.text()
	}
	var text strings.Builder
	reader := bufio.NewReader(response.Body)
	previous := begin
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return text.String()
		}
		data, ok := bytes.CutPrefix(line, []byte("data: {"))
		if !ok {
			continue
		}
		now := time.Now()
		if sample.TimeToFirstToken == 0 {
			sample.TimeToFirstToken = now.Sub(begin)
		} else {
			sample.Gaps = append(sample.Gaps, now.Sub(previous))
		}
		previous = now
		var event completion
		_ = json.Unmarshal(append([]byte("{"), data...), &event)
		text.WriteString(event.text())
	}
}

// inject sends the fault to its engine at the time that the scenario gives.
func (runner *Runner) inject(ctx context.Context, fault scenario.Fault) {
	if fault.Engine >= len(runner.settings.Engines) || !sleepUntil(ctx, time.Now().Add(time.Duration(fault.At))) {
		return
	}
	url := fmt.Sprintf("http://%s/control/fault", runner.settings.Engines[fault.Engine])
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(fault.Body))
	if err != nil {
		return
	}
	if response, err := runner.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// tokensGenerated returns the engines' total of generated tokens, after waiting for
// load reports that cover all calls.
func (runner *Runner) tokensGenerated(ctx context.Context) int {
	if len(runner.settings.Engines) == 0 {
		return 0
	}
	sleepUntil(ctx, time.Now().Add(reportWait))
	total := 0
	for _, address := range runner.settings.Engines {
		total += runner.tokensGeneratedBy(ctx, address)
	}
	return total
}

// reportWait is longer than the engines' default interval between load reports.
const reportWait = 1500 * time.Millisecond

func (runner *Runner) tokensGeneratedBy(ctx context.Context, address string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return 0
	}
	response, err := runner.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var load engine.LoadReport
	_ = json.NewDecoder(response.Body).Decode(&load)
	return load.TokensGenerated
}
