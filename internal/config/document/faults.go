package document

import (
	"fmt"
	"time"
)

// faults lists everything that is wrong with the document, each with its path
// and a remedy, so that an operator mends it in one go.
func (document Document) faults() []error {
	var found []error
	if document.Version == 0 {
		found = append(found, fault("version", "is missing: give a number above the one in force"))
	}
	if document.RepeatWindow < 0 {
		found = append(found, fault("repeat-window", "is negative: give a duration such as \"10m\""))
	}
	found = append(found, document.poolFaults()...)
	found = append(found, document.classFaults()...)
	found = append(found, document.upstreamFaults()...)
	return append(found, document.accountFaults()...)
}

func fault(path, text string) error {
	return fmt.Errorf("%s: %s", path, text)
}

func (document Document) classFaults() []error {
	var found []error
	if len(document.Classes) == 0 && !document.SelfRegistration {
		found = append(found, fault("classes", "is empty: state at least one class"))
	}
	seen := make(map[string]bool)
	pools := document.poolNames()
	for i, class := range document.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		found = append(found, nameFaults(path, class.Name, seen)...)
		found = append(found, class.faults(path)...)
		if document.SelfRegistration {
			found = append(found, document.splitFaults(path, class, pools)...)
			continue
		}
		found = append(found, roleFaults(path, class.Model, class.Service)...)
		if len(document.UpstreamsFor(class)) == 0 {
			found = append(found, fault(path, "no upstream has its model or service: add one under upstreams"))
		}
	}
	return found
}

func (class Class) faults(path string) []error {
	var found []error
	if class.Tier < highestTier || class.Tier > lowestTier {
		text := fmt.Sprintf("%d is out of range: give %d (highest) to %d", class.Tier, highestTier, lowestTier)
		found = append(found, fault(path+".tier", text))
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
		if target.value != 0 && !possible(target.value) {
			text := fmt.Sprintf("%s is impossible: give %s to %s", time.Duration(target.value), shortestTarget, longestTarget)
			found = append(found, fault(path+"."+target.name, text))
		}
	}
	if class.FirstToken == 0 && class.WholeAnswer == 0 {
		found = append(found, fault(path, "has no target: give first-token or whole-answer"))
	}
	if class.WholeAnswer > 0 && class.FirstToken > class.WholeAnswer {
		found = append(found, fault(path+".first-token", "is longer than whole-answer: give a shorter one"))
	}
	return found
}

func possible(target Duration) bool {
	return time.Duration(target) >= shortestTarget && time.Duration(target) <= longestTarget
}

func (document Document) upstreamFaults() []error {
	var found []error
	seen := make(map[string]bool)
	for i, upstream := range document.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		found = append(found, nameFaults(path, upstream.Name, seen)...)
		found = append(found, roleFaults(path, upstream.Model, upstream.Service)...)
	}
	return found
}

func (document Document) accountFaults() []error {
	var found []error
	names := make(map[string]bool)
	sums := make(map[string]bool)
	classes := make(map[string]bool)
	for _, class := range document.Classes {
		classes[class.Name] = true
	}
	for i, account := range document.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		found = append(found, nameFaults(path, account.Name, names)...)
		found = append(found, account.keyFaults(path, sums, document.SelfRegistration)...)
		found = append(found, account.classFaults(path, classes, document.SelfRegistration)...)
		if account.Tier != 0 && (account.Tier < highestTier || account.Tier > lowestTier) {
			found = append(found, fault(path+".tier", fmt.Sprintf("%d is out of range: give %d (highest) to %d", account.Tier, highestTier, lowestTier)))
		}
	}
	return found
}

// keyFaults checks the keys of an account. Where upstreams list themselves, an
// account may have lost all its keys.
func (account Account) keyFaults(path string, seen map[string]bool, mayLack bool) []error {
	var found []error
	if account.KeySHA256 != "" || !mayLack {
		found = append(found, keyFaults(path+".key-sha256", account.KeySHA256, seen)...)
	}
	for _, sum := range account.MoreKeys {
		found = append(found, keyFaults(path+".more-keys-sha256", sum, seen)...)
	}
	return found
}

// classFaults checks the classes of an account. Where classes are found by host
// and path, there need be no default.
func (account Account) classFaults(path string, classes map[string]bool, mayLack bool) []error {
	var found []error
	if account.DefaultClass == "" && !mayLack {
		found = append(found, fault(path+".default-class", "is missing: name a class"))
	}
	for _, name := range append([]string{account.DefaultClass}, account.Classes...) {
		if name != "" && !classes[name] {
			found = append(found, fault(path, fmt.Sprintf("class %q is not stated: add it under classes or mend the name", name)))
		}
	}
	return found
}

func keyFaults(path, sum string, seen map[string]bool) []error {
	if !isKeySum(sum) {
		return []error{fault(path, "is no SHA-256 sum: give 64 hexadecimal digits")}
	}
	if seen[sum] {
		return []error{fault(path, "stands twice: give each account its own keys")}
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

func (document Document) poolFaults() []error {
	var found []error
	seen := make(map[string]bool)
	for i, pool := range document.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		found = append(found, nameFaults(path, pool.Name, seen)...)
		if pool.MaxConnections < 0 || pool.Engine.Batch < 0 || pool.Engine.CacheTokens < 0 {
			found = append(found, fault(path, "has a negative number: leave it out or give one above zero"))
		}
	}
	if len(document.Pools) > 0 && !document.SelfRegistration {
		found = append(found, fault("pools", "need \"upstreams-listed\": true: add it or leave them out"))
	}
	return found
}

// splitFaults checks where a class of a document with pools sends its requests.
func (document Document) splitFaults(path string, class Class, pools map[string]bool) []error {
	var found []error
	if len(class.Split) == 0 {
		found = append(found, fault(path+".split", "is empty: name at least one pool"))
	}
	for i, share := range class.Split {
		if !pools[share.Pool] {
			found = append(found, fault(fmt.Sprintf("%s.split[%d].pool", path, i), fmt.Sprintf("%q is not stated: add it under pools", share.Pool)))
		}
		if share.Weight < 0 {
			found = append(found, fault(fmt.Sprintf("%s.split[%d].weight", path, i), "is negative: give 0 or more"))
		}
	}
	return found
}

func nameFaults(path, name string, seen map[string]bool) []error {
	if name == "" {
		return []error{fault(path+".name", "is missing: give one")}
	}
	if seen[name] {
		return []error{fault(path+".name", fmt.Sprintf("%q stands twice: rename one", name))}
	}
	seen[name] = true
	return nil
}

func roleFaults(path, model, service string) []error {
	if (model == "") == (service == "") {
		return []error{fault(path, "needs exactly one of model and service")}
	}
	return nil
}
