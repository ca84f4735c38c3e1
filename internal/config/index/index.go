// Package index finds classes and client accounts in a class document.
package index

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"sort"
	"strings"

	"endivepost/internal/config/document"
)

// Index is a document prepared for look-ups by host, path and key.
type Index struct {
	document document.Document
	byHost   map[string][]document.Class
	accounts map[string]document.Account
}

// New returns the index of a document.
func New(published document.Document) *Index {
	index := &Index{
		document: published,
		byHost:   make(map[string][]document.Class),
		accounts: make(map[string]document.Account),
	}
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

// Document returns the document that was indexed.
func (index *Index) Document() document.Document {
	return index.document
}

// Class returns the class of the host with the longest prefix of the path.
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

// Account returns the client account that holds the key.
func (index *Index) Account(key string) (document.Account, bool) {
	if key == "" {
		return document.Account{}, false
	}
	sum := sha256.Sum256([]byte(key))
	account, ok := index.accounts[hex.EncodeToString(sum[:])]
	return account, ok
}
