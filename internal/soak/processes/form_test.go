package processes

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"endivepost/internal/core/event"
)

// form is one of the two forms in which entries run.
type form interface {
	dialect() dialect
	// grace is the time from SIGTERM until SIGKILL.
	grace() time.Duration
	// publish publishes the configuration of the version.
	publish(version int, random *rand.Rand)
	// register publishes an upstream in the state, or that it is gone for the state "".
	register(upstream *upstream, state string)
	// prepare sets the commands of the fleet's processes.
	prepare(fleet *fleet) error
	// keepsUpstreams reports whether an upstream that ended returns at its address.
	keepsUpstreams() bool
	close()
}

// directForm has entries that reach upstreams themselves.
type directForm struct {
	*store
	started time.Time
}

func newDirectForm(listener net.Listener) form {
	return &directForm{store: newStore(listener), started: time.Now()}
}

func (*directForm) dialect() dialect { return platformDialect{} }

func (*directForm) grace() time.Duration { return 8 * time.Second }

func (*directForm) keepsUpstreams() bool { return false }

func (form *directForm) close() { _ = form.server.Close() }

func (form *directForm) register(upstream *upstream, state string) {
	if state == "" {
		form.remove("servers/" + upstream.name)
		return
	}
	form.put("servers/"+upstream.name, storeServer{
		Service: upstream.service, Address: upstream.address(), Zone: "a", Version: "v1", Slots: 64, State: state, Sequence: 1,
		Born: form.started.UnixMilli(),
	})
}

// settingsText is the settings file of an entry.
const settingsText = `node_name = %q
zone = "a"
heartbeat_ms = 1200
seed_nodes = [%s]
[listen]
front = %q
ready = %q
control = %q
[platform]
address = %q
[bounds]
grace_s = %g
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
`

func (form *directForm) prepare(fleet *fleet) error {
	var peers []string
	for _, entry := range fleet.entries {
		peers = append(peers, fmt.Sprintf("%q", entry.peer))
	}
	for _, entry := range fleet.entries {
		settings := filepath.Join(entry.folder, entry.name+".toml")
		text := fmt.Sprintf(settingsText, entry.name, strings.Join(peers, ", "), entry.callers, entry.ready, entry.peer, form.address, form.grace().Seconds())
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return err
		}
		entry.readyURL = "http://" + entry.ready + "/api/readiness"
		entry.arguments = []string{"platform-entry", "--settings", settings}
	}
	return nil
}

// sidecarForm has entries that reach upstreams through the upstreams' sidecars.
type sidecarForm struct{ *configService }

func newSidecarForm(listener net.Listener) form {
	return &sidecarForm{newConfigService(listener)}
}

func (*sidecarForm) dialect() dialect { return chatDialect{} }

// sidecarDrain is the drain timeout of entries and sidecars. An entry may take shutdownTime
// more to write its answers.
const (
	sidecarDrain = 14 * time.Second
	shutdownTime = 6 * time.Second
)

func (*sidecarForm) grace() time.Duration { return sidecarDrain + shutdownTime }

func (*sidecarForm) keepsUpstreams() bool { return true }

func (form *sidecarForm) close() { _ = form.server.Close() }

// register does nothing: the list of VMs names the sidecars, which stay.
func (*sidecarForm) register(*upstream, string) {}

func sidecarName(index int) string { return fmt.Sprintf("i-%d", index+1) }

func (form *sidecarForm) prepare(fleet *fleet) error {
	var members []event.Member
	common := func(entry *entry) []string {
		return []string{"--name", entry.name, "--drain-timeout", sidecarDrain.String(), "--trace-share", "0"}
	}
	for _, entry := range fleet.entries {
		members = append(members, event.Member{Name: entry.name, Address: entry.peer, Role: "entry", Domain: "a"})
		entry.readyURL = "http://" + entry.callers + "/readyz"
		entry.arguments = append([]string{"entry", "--listen", entry.callers, "--admin", entry.peer, "--platform", "http://" + form.address}, common(entry)...)
	}
	for index, upstream := range fleet.upstreams {
		sidecar := &entry{
			name: sidecarName(index), callers: freeAddress(fleet.t), folder: fleet.entries[0].folder, program: fleet.entries[0].program, journal: fleet.journal,
		}
		sidecar.readyURL = "http://" + sidecar.callers + "/readyz"
		sidecar.arguments = append([]string{
			"sidecar", "--listen", sidecar.callers, "--upstream", upstream.address(), "--fixed-limit", "64",
		}, common(sidecar)...)
		members = append(members, event.Member{Name: sidecar.name, Address: sidecar.callers, Role: "sidecar", Domain: "a"})
		fleet.sidecars = append(fleet.sidecars, sidecar)
	}
	form.setMembers(members)
	return nil
}
