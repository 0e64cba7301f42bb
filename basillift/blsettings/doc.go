// Package blsettings reads the settings of a daemon from a file in JSON with
// comments, which is checked against a JSON schema before it is used.
//
// # Usage
//
//	settings, err := blsettings.Load("/etc/basillift/daemon.json")
//	if err != nil {
//		return fmt.Errorf("load settings: %w", err)
//	}
//	listen(settings.Addresses().Control())
//
// Each problem names the field, what was found and what is allowed. Settings
// with at least one problem are refused as a whole.
package blsettings

//go:generate cp ../../schema/settings.json settings.schema.json
//go:generate sh -c "cd ../../tools && go tool go-jsonschema --only-models --tags json -t -p blsettings -o ../basillift/blsettings/file_gen.go ../schema/settings.json"
