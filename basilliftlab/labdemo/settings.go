package labdemo

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// settings is the content of a daemon's settings file, as described in docs/settings.md.
// No other code of the demo depends on its format.
type settings struct {
	Name        string   `json:"name"`
	Domain      string   `json:"domain"`
	Domains     []string `json:"domains"`
	Region      string   `json:"region"`
	Service     string   `json:"service"`
	Caller      string   `json:"caller"`
	Mesh        string   `json:"mesh"`
	Control     string   `json:"control"`
	Admin       string   `json:"admin"`
	Target      string   `json:"target"`
	Platform    string   `json:"platform"`
	Seeds       []string `json:"seeds"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
	Trace       string   `json:"trace"`
}

// writeSettings writes the settings file of a VM's daemon and returns its path.
func writeSettings(folder string, m Mesh, v VM) (string, error) {
	data, err := json.MarshalIndent(settings{
		Name: v.name, Domain: v.domain, Domains: m.domains, Region: v.region, Service: v.service,
		Caller: v.callerAddress(), Mesh: v.meshAddress(), Control: v.controlAddress(), Admin: v.adminAddress(), Target: v.targetAddress(),
		Platform: "http://" + m.platformAddress(), Seeds: m.seeds(v),
		Slots: m.targetSlots, Connections: m.targetConnections, Trace: m.traceMode,
	}, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encode settings of %s: %w", v.name, err)
	}
	path := filepath.Join(folder, v.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", fmt.Errorf("write settings: %w", err)
	}
	return path, nil
}
