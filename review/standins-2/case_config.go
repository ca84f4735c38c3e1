package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["config"] = playConfig }

// playConfig plays configurations that grow. The last one is within `value_bytes`; it moves a
// route to another service and takes a key away.
func playConfig(world *World) int {
	const (
		accounts, keysEach, applyTime = 630, 8, 2 * time.Second
		tries, between                = 20, 200 * time.Millisecond
	)
	routes := 380
	if world.trouble {
		routes = 3700
	}
	store := NewStore()
	storeAddress := world.Address(8223)
	store.Serve(storeAddress)
	store.Put("op/config", largeConfig(7, 100, accounts, keysEach, "app", true))
	for number, service := range []string{"app", "app-b"} {
		runner := &Runner{
			ID: fmt.Sprintf("i-%08x", 0x7f3a9100+number), Service: service, Address: world.Address(8080), Zone: "zone-a", Version: "v1", Slots: 6,
			store: store, record: world.record, handle: plainAnswer,
		}
		runner.Start()
	}
	machine := world.startMachines(1, storeAddress)[0]
	time.Sleep(time.Second)
	world.record.Add("before: %s", describe(sendAs(machine, clientKey)))
	large := largeConfig(9, routes, accounts, keysEach, "app-b", false)
	encoded, _ := json.Marshal(large)
	store.Put("op/config", large)
	world.record.Add("version 9 with %d routes and %d bytes is acknowledged; the limit of a value is 1048576 bytes", routes, len(encoded))
	time.Sleep(applyTime + time.Second)
	oldService, oldKey, refused := 0, 0, 0
	for range tries {
		time.Sleep(between)
		moved, withdrawn := sendAs(machine, key(0, 1)), sendAs(machine, clientKey)
		world.record.Add("a request on the route that moved: %s; one with the key that was taken away: %s", describe(moved), describe(withdrawn))
		if moved.Header.Get("X-Server-Seal") != "" && moved.Body == "app" {
			oldService++
		}
		if withdrawn.Status == http.StatusOK {
			oldKey++
		}
		added := send(machine.Front, http.MethodGet, fmt.Sprintf("/route%04d/a", routes-1), newID(), "", "", time.Second, nil)
		if added.Status == http.StatusNotFound {
			refused++
		}
	}
	world.record.Add("of %d each: %d run by the old service, %d run with the dropped key, %d refused with 404 on a route that is there",
		tries, oldService, oldKey, refused)
	if oldService+oldKey > 0 {
		return broken
	}
	return held
}

func key(account, number int) string { return fmt.Sprintf("n2ctnfzs9%06d%05d", account, number) }

// sendAs sends a request on the first route with the key.
func sendAs(machine *Entry, apiKey string) Answer {
	return sendWithKey(machine.Front, apiKey, http.MethodGet, "/route0000/a", newID(), "", "", time.Second)
}

func describe(answer Answer) string {
	return fmt.Sprintf("%d from %q (%v)", answer.Status, answer.Body, answer.Err)
}

// plainAnswer answers with the name of the runner's service.
func plainAnswer(runner *Runner, conn net.Conn, request *http.Request, _ []byte) bool {
	writeAnswer(conn, http.StatusOK, runner.answerHeader(request), runner.Service)
	return true
}

// largeConfig returns a configuration with the number of routes, of which the first leads to the
// service. It has the fields of the pages' example.
func largeConfig(version, routeCount, accounts, keysEach int, service string, withKey bool) map[string]any {
	var routes, services, tenants []any
	for number := range routeCount {
		route := map[string]any{
			"name": fmt.Sprintf("r-%07d", number), "hostname": "site.example", "prefix": fmt.Sprintf("/route%04d/", number), "kind": "safe",
			"timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "service": "app", "max_attempts": 2, "public": false,
			"sticky": false, "stream_resume": false,
		}
		if number == 0 {
			route["service"] = service
		}
		routes = append(routes, route)
	}
	for _, name := range []string{"app", "app-b"} {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_connections": 110})
	}
	for number := range accounts {
		var keys []string
		for count := range keysEach {
			keys = append(keys, key(number, count))
		}
		if number == 0 && withKey {
			keys = append(keys, clientKey)
		}
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("hule%04d", number), "api_keys": keys})
	}
	limits := map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": limits, "tenants": tenants}
}
