// Package index looks up classes and client accounts in a class document.
package index

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net"
	"slices"
	"sort"
	"strings"

	"endivepost/internal/config/document"
)

// Index finds the classes of a document by host and path and its accounts by bearer
// key. It is immutable.
type Index struct {
	document document.Document
	byHost   map[string][]document.Class
	accounts map[string]document.Account
	ranks    map[rank]int
}

// rank orders requests by the account's tier, then by the tier of the class. Without an
// account, or if it has no tier, accountTier is the tier of the class.
type rank struct {
	accountTier int
	classTier   int
}

// New returns the index of a document.
func New(published document.Document) *Index {
	index := &Index{
		document: published,
		byHost:   make(map[string][]document.Class),
		accounts: make(map[string]document.Account),
		ranks:    make(map[rank]int),
	}
	index.setRanks()
	for _, class := range published.Classes {
		host := strings.ToLower(class.Host)
		index.byHost[host] = append(index.byHost[host], class)
	}
	for _, classes := range index.byHost {
		sort.SliceStable(classes, func(i, j int) bool { return len(classes[i].PathPrefix) > len(classes[j].PathPrefix) })
	}
	for _, account := range published.Accounts {
		index.accounts[account.KeySHA256] = account
		for _, sum := range account.MoreKeys {
			index.accounts[sum] = account
		}
	}
	delete(index.accounts, "")
	return index
}

// Document returns the indexed document.
func (index *Index) Document() document.Document {
	return index.document
}

// Class returns the class of the host with the longest matching path prefix, and false
// if there is none. The port and the case of host are ignored.
func (index *Index) Class(host, path string) (document.Class, bool) {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	for _, class := range index.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, class.PathPrefix) {
			return class, true
		}
	}
	return document.Class{}, false
}

// Account returns the client account with the bearer key, and false if there is none.
func (index *Index) Account(key string) (document.Account, bool) {
	if key == "" {
		return document.Account{}, false
	}
	sum := sha256.Sum256([]byte(key))
	account, ok := index.accounts[hex.EncodeToString(sum[:])]
	return account, ok
}

// Tier returns the tier of a request of the account in the class; 1 is the highest. It
// is the position among all combinations of the document's accounts and classes, ordered
// by the tier of the account and then by that of the class; equal combinations share a
// position. Without an account, or with one that has no tier, the tier of the class takes
// the place of the account's. Tier returns 0 if the document has no such combination.
func (index *Index) Tier(account document.Account, class document.Class) int {
	return index.ranks[rankOf(account, class)]
}

func rankOf(account document.Account, class document.Class) rank {
	if account.Tier == 0 {
		return rank{accountTier: class.Tier, classTier: class.Tier}
	}
	return rank{accountTier: account.Tier, classTier: class.Tier}
}

// setRanks numbers the ranks of all accounts in all classes, including those that an
// account may not use. Requests without an account are possible in open classes, and in
// all classes of a document without accounts.
func (index *Index) setRanks() {
	accounts := append([]document.Account{{}}, index.document.Accounts...)
	for _, class := range index.document.Classes {
		for _, account := range accounts {
			if account.Name != "" || class.Open || len(index.document.Accounts) == 0 {
				index.ranks[rankOf(account, class)] = 0
			}
		}
	}
	sorted := slices.SortedFunc(maps.Keys(index.ranks), func(left, right rank) int {
		return cmp.Or(cmp.Compare(left.accountTier, right.accountTier), cmp.Compare(left.classTier, right.classTier))
	})
	for i, rank := range sorted {
		index.ranks[rank] = i + 1
	}
}
