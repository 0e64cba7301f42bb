package blsettings

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// schemaDocument is the part of the JSON schema that the reference page shows.
type schemaDocument struct {
	Required   []string                  `json:"required"`
	Properties map[string]schemaProperty `json:"properties"`
}

type schemaProperty struct {
	Type        string          `json:"type"`
	Description string          `json:"description"`
	Default     json.RawMessage `json:"default"`
	Minimum     *int            `json:"minimum"`
	Maximum     *int            `json:"maximum"`
	Enum        []string        `json:"enum"`
}

// defaults returns the default values from the schema. The schema is embedded and
// checked by a test, so decoding it does not fail.
func defaults() File {
	var d schemaDocument
	if err := json.Unmarshal([]byte(schemaText), &d); err != nil {
		return File{}
	}
	values := map[string]json.RawMessage{}
	for name, p := range d.Properties {
		if p.Default != nil {
			values[name] = p.Default
		}
	}
	var f File
	data, err := json.Marshal(values)
	if err != nil {
		return f
	}
	_ = json.Unmarshal(data, &f)
	return f
}

// Reference returns the content of docs/settings.md, generated from the schema.
func Reference() (string, error) {
	var d schemaDocument
	if err := json.Unmarshal([]byte(schemaText), &d); err != nil {
		return "", fmt.Errorf("decode settings schema: %w", err)
	}
	names := make([]string, 0, len(d.Properties))
	for name := range d.Properties {
		names = append(names, name)
	}
	slices.Sort(names)
	var page strings.Builder
	page.WriteString("# Settings of the daemon\n\n")
	page.WriteString("Generated from `schema/settings.json` by `basilliftd --reference`. The file is JSON with comments and trailing\n")
	page.WriteString("commas; `basilliftd --check --settings FILE` checks one without starting.\n\n")
	page.WriteString("| field | type | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, n := range names {
		p := d.Properties[n]
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s | %s |\n", n, p.Type, defaultText(d, n), allowedText(p), p.Description)
	}
	return page.String(), nil
}

func defaultText(d schemaDocument, name string) string {
	if slices.Contains(d.Required, name) {
		return "required"
	}
	return "`" + string(d.Properties[name].Default) + "`"
}

func allowedText(p schemaProperty) string {
	switch {
	case p.Minimum != nil && p.Maximum != nil:
		return fmt.Sprintf("%d to %d", *p.Minimum, *p.Maximum)
	case len(p.Enum) > 0:
		return strings.Join(p.Enum, ", ")
	default:
		return ""
	}
}
