package blsettings

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"basillift.dev/basillift"
)

// maxFileBytes limits the size of a settings file.
const maxFileBytes = 1 << 20

const schemaURL = "https://basillift.dev/schema/settings.json"

//go:embed settings.schema.json
var schemaText string

// ErrSettings means that settings were refused. The error that wraps it lists each problem.
var ErrSettings = eris.New("settings refused")

// Load reads and checks a settings file. Errors in its content wrap ErrSettings.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, fmt.Errorf("open settings: %w", err)
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return Settings{}, fmt.Errorf("read settings %s: %w", path, err)
	}
	if len(data) > maxFileBytes {
		return Settings{}, fmt.Errorf("read settings %s: found more than %d bytes: %w", path, maxFileBytes, ErrSettings)
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("settings file %s: %w", path, err)
	}
	return s, nil
}

// Parse parses and checks settings in JSON with comments. Errors in the content wrap ErrSettings.
func Parse(data []byte) (Settings, error) {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return Settings{}, fmt.Errorf("parse settings: %w", errors.Join(ErrSettings, err))
	}
	if err := checkSchema(standard); err != nil {
		return Settings{}, err
	}
	f := defaults()
	if err := json.Unmarshal(standard, &f); err != nil {
		return Settings{}, fmt.Errorf("decode settings: %w", errors.Join(ErrSettings, err))
	}
	if problems := checkFields(f); len(problems) > 0 {
		return Settings{}, problemsError(problems)
	}
	return newSettings(f), nil
}

func problemsError(problems []string) error {
	return fmt.Errorf("%s: %w", strings.Join(problems, "; "), ErrSettings)
}

func checkSchema(data []byte) error {
	schema, err := compileSchema()
	if err != nil {
		return fmt.Errorf("compile settings schema: %w", err)
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("parse settings: %w", errors.Join(ErrSettings, err))
	}
	err = schema.Validate(document)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return problemsError(schemaProblems(invalid))
	}
	if err != nil {
		return fmt.Errorf("check settings: %w", err)
	}
	return nil
}

func compileSchema() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(strings.NewReader(schemaText))
	if err != nil {
		return nil, fmt.Errorf("parse schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaURL, document); err != nil {
		return nil, fmt.Errorf("add schema: %w", err)
	}
	schema, err := c.Compile(schemaURL)
	if err != nil {
		return nil, fmt.Errorf("compile schema: %w", err)
	}
	return schema, nil
}

// schemaProblems returns one line of text for each invalid field of a validation error.
func schemaProblems(e *jsonschema.ValidationError) []string {
	if len(e.Causes) > 0 {
		var problems []string
		for _, c := range e.Causes {
			problems = append(problems, schemaProblems(c)...)
		}
		return problems
	}
	field := strings.Join(e.InstanceLocation, ".")
	if field == "" {
		field = "settings"
	}
	if k, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		return []string{fmt.Sprintf("field %s: found unknown field, allowed are the fields in docs/settings.md",
			strings.Join(k.Properties, ", "))}
	}
	text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return []string{fmt.Sprintf("field %s: %s", field, text)}
}

// checkFields checks what the schema cannot express.
func checkFields(f File) []string {
	var problems []string
	addresses := []struct{ field, found string }{
		{"caller", f.Caller},
		{"mesh", f.Mesh},
		{"control", f.Control},
		{"admin", f.Admin},
		{"target", f.Target},
	}
	if f.Ready != "" || f.Routing == FileRoutingTable {
		addresses = append(addresses, struct{ field, found string }{"ready", f.Ready})
	}
	used := map[string]string{}
	for _, a := range addresses {
		if p := checkAddress(a.field, a.found); p != "" {
			problems = append(problems, p)
			continue
		}
		if other, taken := used[a.found]; taken {
			problems = append(problems, fmt.Sprintf("field %s: found %s, which field %s uses too; allowed is an address that no other field uses",
				a.field, a.found, other))
		}
		used[a.found] = a.field
	}
	for i, s := range f.Seeds {
		if p := checkAddress(fmt.Sprintf("seeds.%d", i), s); p != "" {
			problems = append(problems, p)
		}
	}
	problems = append(problems, checkURL("platform", f.Platform)...)
	if f.Notify != "" {
		problems = append(problems, checkURL("notify", f.Notify)...)
	}
	if f.Timeout > f.Longest {
		problems = append(problems, fmt.Sprintf("field timeout: found %d, allowed at most longest (%d)", f.Timeout, f.Longest))
	}
	return problems
}

func checkAddress(field, found string) string {
	address, err := netip.ParseAddrPort(found)
	if err != nil || address.Port() == 0 {
		return fmt.Sprintf("field %s: found %q, allowed is an IP address and a port such as 10.0.0.1:7100", field, found)
	}
	return ""
}

func checkURL(field, found string) []string {
	u, err := url.Parse(found)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" {
		return nil
	}
	return []string{fmt.Sprintf("field %s: found %q, allowed is a URL with http or https", field, found)}
}

func newSettings(f File) Settings {
	domains := make([]basillift.FailureDomain, 0, len(f.Domains))
	for _, d := range f.Domains {
		domains = append(domains, basillift.FailureDomain(d))
	}
	// The schema has checked that both are durations.
	leavingPeriod, _ := time.ParseDuration(f.Leaving)
	gracePeriod, _ := time.ParseDuration(f.Grace)
	return Settings{
		name:              basillift.VMID(f.Name),
		place:             basillift.NewPlace(basillift.FailureDomain(f.Domain), basillift.Region(f.Region)),
		service:           f.Service,
		caller:            f.Caller,
		addresses:         basillift.NewAddresses(f.Control, f.Mesh, f.Admin),
		target:            f.Target,
		platform:          strings.TrimSuffix(f.Platform, "/"),
		seeds:             f.Seeds,
		domains:           domains,
		slots:             f.Slots,
		connections:       f.Connections,
		maxQueued:         f.Queue,
		timeout:           time.Duration(f.Timeout) * time.Millisecond,
		maxTimeout:        time.Duration(f.Longest) * time.Millisecond,
		drainTimeout:      time.Duration(f.Drain) * time.Second,
		trace:             Trace(f.Trace),
		level:             string(f.Level),
		notify:            f.Notify,
		routing:           Routing(f.Routing),
		readyAddress:      f.Ready,
		leavingPeriod:     leavingPeriod,
		gracePeriod:       gracePeriod,
		retryShare:        f.Repeats,
		retryAllowance:    f.Allowance,
		linkMbitPerSecond: f.Link,
		memoryMB:          f.Memory,
		descriptors:       f.Descriptors,
	}
}
