package link

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strconv"

	"endivepost/internal/wire/message"
)

// bootBase is the numeral base of the boot number in the handshake's header.
const bootBase = 16

// handshakeHeader returns the header fields of one side of the handshake. With an empty
// secret, as from the accepting side, it has no Authorization field.
func handshakeHeader(secret string, self Identity) http.Header {
	header := http.Header{}
	header.Set(headerProtocol, strconv.Itoa(message.Protocol))
	header.Set(headerName, self.Name)
	header.Set(headerBoot, strconv.FormatUint(self.Boot, bootBase))
	if secret != "" {
		header.Set("Authorization", "Bearer "+secret)
	}
	return header
}

func readIdentity(header http.Header) (Identity, error) {
	boot, err := strconv.ParseUint(header.Get(headerBoot), bootBase, 64)
	if err != nil || header.Get(headerName) == "" {
		return Identity{}, ErrIdentity
	}
	return Identity{Name: header.Get(headerName), Boot: boot}, nil
}

// sameSecret compares in constant time, so that the duration of a refused
// handshake does not reveal how much of a guessed secret is right.
func sameSecret(given, wanted string) bool {
	givenSum := sha256.Sum256([]byte(given))
	wantedSum := sha256.Sum256([]byte(wanted))
	return subtle.ConstantTimeCompare(givenSum[:], wantedSum[:]) == 1
}
