package document

import (
	"fmt"
	"time"
)

// validationErrors returns all validation errors of the document, each with its path and a
// remedy, so that an operator can fix them together.
func (document Document) validationErrors() []error {
	var errs []error
	if document.Version == 0 {
		errs = append(errs, invalid("version", "is missing: give a number above that of the active document"))
	}
	if document.RepeatWindow < 0 {
		errs = append(errs, invalid("repeat-window", fmt.Sprintf("%s is negative: give a duration such as \"10m\"", time.Duration(document.RepeatWindow))))
	}
	errs = append(errs, document.poolErrors()...)
	errs = append(errs, document.classErrors()...)
	errs = append(errs, document.upstreamErrors()...)
	return append(errs, document.accountErrors()...)
}

func invalid(path, text string) error {
	return fmt.Errorf("%s: %s", path, text)
}

func (document Document) classErrors() []error {
	var errs []error
	if len(document.Classes) == 0 && !document.SelfRegistration {
		errs = append(errs, invalid("classes", "is empty: define at least one class"))
	}
	seen := make(map[string]bool)
	pools := document.poolNames()
	for i, class := range document.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		errs = append(errs, nameErrors(path, class.Name, seen)...)
		errs = append(errs, class.validationErrors(path)...)
		if document.SelfRegistration {
			errs = append(errs, document.splitErrors(path, class, pools)...)
			continue
		}
		errs = append(errs, roleErrors(path, class.Model, class.Service)...)
		if len(document.UpstreamsFor(class)) == 0 {
			text := fmt.Sprintf("no upstream has its model or service (model %q, service %q): add one under upstreams", class.Model, class.Service)
			errs = append(errs, invalid(path, text))
		}
	}
	return errs
}

func (class Class) validationErrors(path string) []error {
	var errs []error
	if class.Tier < highestTier || class.Tier > lowestTier {
		text := fmt.Sprintf("%d is out of range: give %d (highest) to %d", class.Tier, highestTier, lowestTier)
		errs = append(errs, invalid(path+".tier", text))
	}
	targets := []struct {
		name  string
		value Duration
	}{
		{"first-token", class.FirstToken},
		{"between-tokens", class.BetweenTokens},
		{"whole-answer", class.WholeAnswer},
		{"give-up-after", class.GiveUpAfter},
		{"time-limit", class.TimeLimit},
	}
	for _, target := range targets {
		if target.value != 0 && !inTargetRange(target.value) {
			text := fmt.Sprintf("%s is out of range: give %s to %s", time.Duration(target.value), minTarget, maxTarget)
			errs = append(errs, invalid(path+"."+target.name, text))
		}
	}
	if class.FirstToken == 0 && class.WholeAnswer == 0 {
		errs = append(errs, invalid(path, "has no target: give first-token or whole-answer"))
	}
	if class.WholeAnswer > 0 && class.FirstToken > class.WholeAnswer {
		text := fmt.Sprintf("%s is longer than whole-answer, %s: give a shorter one", time.Duration(class.FirstToken), time.Duration(class.WholeAnswer))
		errs = append(errs, invalid(path+".first-token", text))
	}
	return errs
}

func inTargetRange(target Duration) bool {
	return time.Duration(target) >= minTarget && time.Duration(target) <= maxTarget
}

func (document Document) upstreamErrors() []error {
	var errs []error
	seen := make(map[string]bool)
	for i, upstream := range document.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		errs = append(errs, nameErrors(path, upstream.Name, seen)...)
		errs = append(errs, roleErrors(path, upstream.Model, upstream.Service)...)
	}
	return errs
}

func (document Document) accountErrors() []error {
	var errs []error
	names := make(map[string]bool)
	sums := make(map[string]bool)
	classes := make(map[string]bool)
	for _, class := range document.Classes {
		classes[class.Name] = true
	}
	for i, account := range document.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		errs = append(errs, nameErrors(path, account.Name, names)...)
		errs = append(errs, account.keyErrors(path, sums, document.SelfRegistration)...)
		errs = append(errs, account.classErrors(path, classes, document.SelfRegistration)...)
		if account.Tier != 0 && (account.Tier < highestTier || account.Tier > lowestTier) {
			errs = append(errs, invalid(path+".tier", fmt.Sprintf("%d is out of range: give %d (highest) to %d", account.Tier, highestTier, lowestTier)))
		}
	}
	return errs
}

// keyErrors validates the keys of an account. If keys are optional, as with
// self-registration of upstreams, an account may have none.
func (account Account) keyErrors(path string, seen map[string]bool, optional bool) []error {
	var errs []error
	if account.KeySHA256 != "" || !optional {
		errs = append(errs, keyErrors(path+".key-sha256", account.KeySHA256, seen)...)
	}
	for i, sum := range account.MoreKeys {
		errs = append(errs, keyErrors(fmt.Sprintf("%s.more-keys-sha256[%d]", path, i), sum, seen)...)
	}
	return errs
}

// classErrors validates the classes of an account. With self-registration of
// upstreams classes are found by host and path, so the default class is optional.
func (account Account) classErrors(path string, classes map[string]bool, optional bool) []error {
	var errs []error
	if account.DefaultClass == "" && !optional {
		errs = append(errs, invalid(path+".default-class", "is missing: name a class"))
	}
	for _, name := range append([]string{account.DefaultClass}, account.Classes...) {
		if name != "" && !classes[name] {
			errs = append(errs, invalid(path, fmt.Sprintf("class %q is not defined: add it under classes or correct the name", name)))
		}
	}
	return errs
}

// keyErrors validates one key sum. The error does not contain it, since it may be a
// bearer key that was entered by mistake.
func keyErrors(path, sum string, seen map[string]bool) []error {
	if !isKeySum(sum) {
		return []error{invalid(path, fmt.Sprintf("is not a SHA-256 sum: got %d characters, give 64 hexadecimal digits", len(sum)))}
	}
	if seen[sum] {
		return []error{invalid(path, "is used twice: give each account its own keys")}
	}
	seen[sum] = true
	return nil
}

func (document Document) poolNames() map[string]bool {
	names := make(map[string]bool, len(document.Pools))
	for _, pool := range document.Pools {
		names[pool.Name] = true
	}
	return names
}

func (document Document) poolErrors() []error {
	var errs []error
	seen := make(map[string]bool)
	for i, pool := range document.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		errs = append(errs, nameErrors(path, pool.Name, seen)...)
		if pool.MaxConnections < 0 || pool.Engine.Batch < 0 || pool.Engine.CacheTokens < 0 || pool.Engine.TokensPerEvent < 0 {
			text := fmt.Sprintf("has a negative number (most-connections %d, batch %d, cache-tokens %d, tokens-per-event %d): leave it out or give one above zero",
				pool.MaxConnections, pool.Engine.Batch, pool.Engine.CacheTokens, pool.Engine.TokensPerEvent)
			errs = append(errs, invalid(path, text))
		}
		if pool.ColdStart < 0 || pool.ColdPerSecond < 0 {
			text := fmt.Sprintf("has a negative cold-start %s or cold-requests-per-second %g: leave it out or give one above zero",
				time.Duration(pool.ColdStart), pool.ColdPerSecond)
			errs = append(errs, invalid(path, text))
		}
	}
	if len(document.Pools) > 0 && !document.SelfRegistration {
		errs = append(errs, invalid("pools", "need \"upstreams-listed\": true: set it or remove the pools"))
	}
	return errs
}

// splitErrors validates the pools that a class sends its requests to.
func (document Document) splitErrors(path string, class Class, pools map[string]bool) []error {
	var errs []error
	if len(class.Split) == 0 {
		errs = append(errs, invalid(path+".split", "is empty: name at least one pool"))
	}
	for i, share := range class.Split {
		if !pools[share.Pool] {
			errs = append(errs, invalid(fmt.Sprintf("%s.split[%d].pool", path, i), fmt.Sprintf("%q is not defined: add it under pools", share.Pool)))
		}
		if share.Weight < 0 {
			errs = append(errs, invalid(fmt.Sprintf("%s.split[%d].weight", path, i), fmt.Sprintf("%d is negative: give 0 or more", share.Weight)))
		}
	}
	return errs
}

func nameErrors(path, name string, seen map[string]bool) []error {
	if name == "" {
		return []error{invalid(path+".name", "is missing: give one")}
	}
	if seen[name] {
		return []error{invalid(path+".name", fmt.Sprintf("%q is used twice: rename one", name))}
	}
	seen[name] = true
	return nil
}

func roleErrors(path, model, service string) []error {
	if (model == "") == (service == "") {
		return []error{invalid(path, fmt.Sprintf("needs exactly one of model and service, has model %q and service %q", model, service))}
	}
	return nil
}
