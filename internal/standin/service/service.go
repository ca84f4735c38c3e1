// Package service is a stand-in for a plain service, such as a booking system. It
// counts the runs of each idempotency key, so that tests detect a repeated run.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Service answers every call after a delay and counts the runs of each idempotency
// key.
type Service struct {
	delay time.Duration
	mutex sync.Mutex
	runs  map[string]int
	total int
}

// Receipt is the response to a call. Run is the number of runs of its key so far, Echo
// the first 200 bytes of the body.
type Receipt struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Run    int    `json:"run"`
	Bytes  int    `json:"bytes"`
	Echo   string `json:"echo"`
}

// Runs is the response to /control/runs. KeysRunTwice counts the keys that ran more
// than once.
type Runs struct {
	Total        int            `json:"total"`
	ByKey        map[string]int `json:"by-key"`
	KeysRunTwice int            `json:"double"`
}

const maxBodyBytes = 8 << 20

// New returns a service that answers each call after the delay.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, runs: make(map[string]int)}
}

// Handler returns the service's HTTP interface.
func (service *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/control/runs", service.serveRuns).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(service.serve)
	return router
}

func (service *Service) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	receipt := service.record(request, body)
	time.Sleep(service.delay)
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(receipt)
}

func (service *Service) record(request *http.Request, body []byte) Receipt {
	key := request.Header.Get("Idempotency-Key")
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.total++
	if key != "" {
		service.runs[key]++
	}
	return Receipt{
		Method: request.Method, Path: request.URL.RequestURI(), Key: key, Run: service.runs[key], Bytes: len(body),
		Echo: fmt.Sprintf("%.200s", body),
	}
}

func (service *Service) serveRuns(writer http.ResponseWriter, _ *http.Request) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	runs := Runs{Total: service.total, ByKey: service.runs}
	for _, count := range service.runs {
		if count > 1 {
			runs.KeysRunTwice++
		}
	}
	_ = json.NewEncoder(writer).Encode(runs)
}
