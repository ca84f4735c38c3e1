// Package script derives the response of the engine stand-in from the request, so that
// a caller can check that a response is its own and complete.
package script

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// Script is the response to one prompt.
type Script struct {
	seed   uint64
	length int
}

const (
	minTokens = 1
	// randomStream is the second half of the generator's seed. It is fixed, so that equal
	// prompts get equal responses.
	randomStream = 0x656e64697665
	// vocabulary is the number of different tokens.
	vocabulary = 9973
)

// New returns the response to a prompt for a model. The length in tokens is log-normal
// with the given median and spread (standard deviation of the logarithm), and at most
// maxTokens.
func New(model, prompt string, median, spread float64, maxTokens int) Script {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(model + "\x00" + prompt))
	seed := hash.Sum64()
	random := rand.New(rand.NewPCG(seed, randomStream))
	length := int(median * math.Exp(spread*random.NormFloat64()))
	return Script{seed: seed, length: min(max(length, minTokens), maxTokens)}
}

// Len returns the number of tokens.
func (script Script) Len() int {
	return script.length
}

// Token returns the token at the index, starting at 0.
func (script Script) Token(index int) string {
	word := (script.seed ^ uint64(index)*0x9e3779b97f4a7c15) % vocabulary
	return fmt.Sprintf("w%d ", word)
}

// Text returns the complete response.
func (script Script) Text() string {
	text := make([]byte, 0, script.length*6)
	for i := range script.length {
		text = append(text, script.Token(i)...)
	}
	return string(text)
}

// Seed returns the hash of model and prompt that the response is derived from.
func (script Script) Seed() uint64 {
	return script.seed
}
