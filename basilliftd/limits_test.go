package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"

	"basillift.dev/basillift/blbudget"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blsettings"
	"basillift.dev/platform"
)

// freePort returns a port of the loopback interface that nobody listens on.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// renderTemplate fills in the placeholders of a settings template. A placeholder without a value is an error, and there are no
// sections.
func renderTemplate(t *testing.T, template string, values map[string]any) string {
	t.Helper()
	return regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`).ReplaceAllStringFunc(template, func(found string) string {
		name, encoded := strings.CutSuffix(strings.Trim(found, "{}"), "|json")
		value, known := values[name]
		if !known {
			t.Errorf("placeholder %s has no value", name)
		}
		if !encoded {
			return fmt.Sprint(value)
		}
		text, err := json.Marshal(value)
		is.New(t).NoErr(err)
		return string(text)
	})
}

// Guards against a template of the settings that needs more fields than renderers of small deployments have: the daemon does not start.
func TestDeployTemplateNeedsFewFields(t *testing.T) {
	is := is.New(t)
	template, err := os.ReadFile("../deploy/daemon.json")
	is.NoErr(err)
	address := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort(t)) }
	store := strings.TrimPrefix(startStore(t, map[string]string{platform.KeyRouting: "{}"}), "http://")
	settings, err := blsettings.Parse([]byte(renderTemplate(t, string(template), map[string]any{
		"node": "vm-1", "zone": "a", "region": "r", "service": "catalogue", "ip": "127.0.0.1", "app": address(),
		"listenAddrs.inbound": address(), "listenAddrs.outbound": address(), "listenAddrs.ready": address(),
		"peerPorts.0": freePort(t), "peerPorts.1": freePort(t), "platform.address": store, "limits.linkMbps": 1000.0,
		"bounds.drain": "2000ms", "bounds.grace": "6s", "bounds.retryRatio": 0.2, "bounds.retryAllowance": 64,
	})))
	is.NoErr(err)
	log, err := bllog.New(io.Discard, "info", "vm-1")
	is.NoErr(err)
	d, err := buildTableDaemon("", settings, processFlags{}.limits(settings, defaultDescriptors), log)
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.run(ctx) }()
	awaitCondition(t, "the daemon listens", func() bool {
		c, dialErr := net.DialTimeout("tcp", settings.Addresses().Mesh(), time.Second)
		if dialErr == nil {
			_ = c.Close()
		}
		return dialErr == nil
	})
	stop()
	is.NoErr(<-ended)
}

// Guards against budgets that exceed the VM, since the limits of the deploy file do not reach the daemon, or without any bound.
func TestProcessLimits(t *testing.T) {
	deployFile, err := os.ReadFile("../deploy/system.toml")
	is.New(t).NoErr(err)
	is.New(t).True(strings.Contains(string(deployFile), `BASILLIFT_MEMORY = "{{limits.memoryMb}}", BASILLIFT_DESCRIPTORS = "{{limits.maxFds}}"`))
	limits := func(t *testing.T, memory, descriptors, settings string) (blbudget.Limits, error) {
		t.Helper()
		t.Setenv("BASILLIFT_MEMORY", memory)
		t.Setenv("BASILLIFT_DESCRIPTORS", descriptors)
		var o options
		_, err := flags.NewParser(&o, flags.None).ParseArgs(nil)
		s, settingsErr := blsettings.Parse([]byte(tableSettings + settings + "}"))
		is.New(t).NoErr(settingsErr)
		return o.limits(s, 1024), err
	}
	for name, c := range map[string]struct {
		memory, descriptors, settings string
		want                          blbudget.Limits
	}{
		"environment":         {"184", "4100", "", blbudget.NewLimits(184, 4100)},
		"settings come first": {"184", "4100", `,"memory":48,"descriptors":300`, blbudget.NewLimits(48, 300)},
		"neither":             {"", "", "", blbudget.NewLimits(defaultMemoryMB, 1024)},
		"more than may open":  {"", "4100", "", blbudget.NewLimits(defaultMemoryMB, 4100)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := limits(t, c.memory, c.descriptors, c.settings)
			is.NoErr(err)
			is.Equal(l, c.want)
			is.True(l.HeapBytes() > 0)
		})
	}
	for _, invalid := range []string{"-1", "1.5", "many", "99999999999"} {
		t.Run("invalid "+invalid, func(t *testing.T) {
			_, err := limits(t, invalid, "", "")
			is.New(t).True(err != nil)
		})
	}
}
