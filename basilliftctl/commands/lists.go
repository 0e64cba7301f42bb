package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/bllist"
	"basillift.dev/basillift/blplatform"
)

// exitCodesHelp is the last paragraph of each command's long description.
const exitCodesHelp = `
Exit codes: 0 ok, 1 the lists have problems or differ, or a promise is broken, 2 usage, 3 a file, the platform
or a daemon cannot be read.`

// readFiles assembles both lists from files. The parts of a split list are in the same
// directory as FILE.1, FILE.2 and so on. The version has revision 0.
func readFiles(customers, plans string) (bllist.ConsistentRead, error) {
	var values []basillift.Value
	for _, f := range [][2]string{{basillift.KeyCustomers, customers}, {basillift.KeyPlans, plans}} {
		key, name := f[0], f[1]
		data, err := os.ReadFile(name)
		if err != nil {
			return bllist.ConsistentRead{}, fmt.Errorf("read %s: %w", key, unreadableError(err))
		}
		value := basillift.NewValue(key, data, 0, 0)
		values = append(values, value)
		for i, k := range bllist.PartKeys(value) {
			data, err := os.ReadFile(bllist.PartKey(name, i+1))
			if err != nil {
				return bllist.ConsistentRead{}, fmt.Errorf("read %s: %w", k, unreadableError(err))
			}
			values = append(values, basillift.NewValue(k, data, 0, 0))
		}
	}
	read, err := bllist.Assemble(values...)
	if err != nil {
		return bllist.ConsistentRead{}, fmt.Errorf("read files: %w", err)
	}
	return read, nil
}

func readPlatform(ctx context.Context, address string) (bllist.ConsistentRead, error) {
	client, err := blplatform.NewClient(address)
	if err != nil {
		return bllist.ConsistentRead{}, usageError("--platform: " + err.Error())
	}
	defer client.Close()
	read, err := blplatform.ReadLists(ctx, client)
	if err != nil {
		return bllist.ConsistentRead{}, fmt.Errorf("read platform %s: %w", address, err)
	}
	return read, nil
}

// asInvalid returns the error with the problems of lists that were read but are invalid.
func asInvalid(err error) (*bllist.InvalidError, bool) {
	return errors.AsType[*bllist.InvalidError](err)
}

func buildSnapshot(read bllist.ConsistentRead) (*blconfig.Snapshot, error) {
	s, err := blconfig.Build(read.Version(), read.Lists())
	if err != nil {
		return nil, fmt.Errorf("build: %w", err)
	}
	return s, nil
}

// problem is a validation problem in JSON output.
type problem struct {
	Key     string `json:"key"`
	Field   string `json:"field"`
	Kind    string `json:"kind"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

func problems(e *bllist.InvalidError) []problem {
	list := make([]problem, 0, len(e.Problems()))
	for _, p := range e.Problems() {
		list = append(list, problem{
			Key: p.Key(), Field: p.Field(), Kind: string(p.Kind()), Found: p.Found(), Allowed: p.Allowed(),
		})
	}
	return list
}

// printf prints results. Write errors are ignored: after a closed pipe nobody reads the output.
func (s Streams) printf(format string, values ...any) { _, _ = fmt.Fprintf(s.out, format, values...) }

func (s Streams) printJSON(v any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}

// printProblems prints one line for each problem and then their number.
func (s Streams) printProblems(e *bllist.InvalidError) {
	for _, p := range e.Problems() {
		s.printf("%s\n", p)
	}
	if e.MayHaveMore() {
		s.printf("at least %d problems; the others are not shown\n", len(e.Problems()))
		return
	}
	s.printf("%d problems\n", len(e.Problems()))
}
