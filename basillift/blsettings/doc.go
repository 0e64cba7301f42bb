// Package blsettings reads the settings of a daemon: JSON with comments,
// checked against a schema before anything is used.
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
// with any problem are refused as a whole.
package blsettings

//go:generate cp ../../schema/settings.json settings.schema.json
//go:generate sh -c "cd ../../tools && go tool go-jsonschema --only-models --tags json -t -p blsettings -o ../basillift/blsettings/file_gen.go ../schema/settings.json"
