package commands

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
	"basillift.dev/basillift/blplatform"
)

const (
	customersList = `{"epoch":1,"customers":[{"name":"kobuleti","plan":"basic"},{"name":"poti","plan":"full"}]}`
	plansList     = `{"epoch":1,"services":["catalogue","gallery"],"plans":[{"name":"basic","services":["catalogue"]},` +
		`{"name":"full","services":["catalogue","gallery"]}]}`
)

// writeFiles writes files to a temporary directory and returns a function that maps a
// file name to its path.
func writeFiles(t *testing.T, files map[string]string) func(name string) string {
	t.Helper()
	dir := t.TempDir()
	for n, data := range files {
		is.New(t).NoErr(os.WriteFile(filepath.Join(dir, n), []byte(data), 0o600))
	}
	return func(name string) string { return filepath.Join(dir, name) }
}

// servePlatform serves the given keys with the platform's HTTP protocol and returns the URL.
func servePlatform(t *testing.T, values map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, ok := values[strings.TrimPrefix(r.URL.Path, "/v1/keys/")]
		w.Header().Set(blplatform.HeaderStoreRevision, "9")
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set(blplatform.HeaderModRevision, "7")
		_, _ = w.Write([]byte(data))
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// expectRun runs a command, checks the exit code and that the output contains want, and
// returns the standard output.
func expectRun(t *testing.T, code int, want string, arguments ...string) string {
	t.Helper()
	is := is.New(t)
	var out, errOut bytes.Buffer
	is.Equal(Main(arguments, &out, &errOut), code)
	printed := out.String() + errOut.String()
	if !strings.Contains(printed, want) {
		t.Fatalf("printed %q, want %q in it", printed, want)
	}
	is.True(!strings.Contains(printed, ".go:")) // usage errors are printed without a stack trace
	return out.String()
}

// Guards against a check that accepts lists which the daemons refuse, and against wrong exit codes in scripts.
func TestCheck(t *testing.T) {
	at := writeFiles(t, map[string]string{"c": customersList, "p": plansList, "bad": `{"epoch":0,"customers":[]}`})
	url := servePlatform(t, map[string]string{basillift.KeyCustomers: customersList, basillift.KeyPlans: plansList})
	t.Run("good files", func(t *testing.T) {
		expectRun(t, 0, "2 customers, 2 plans, 2 services", "check", "--customers", at("c"), "--plans", at("p"))
	})
	t.Run("good platform", func(t *testing.T) { expectRun(t, 0, "version 1.7", "check", "--platform", url) })
	t.Run("bad file", func(t *testing.T) {
		expectRun(t, 1, "customers: epoch: found 0; allowed: a whole number from 1", "check", "--customers", at("bad"), "--plans", at("p"))
	})
	t.Run("bad file as JSON", func(t *testing.T) {
		var result checkResult
		out := expectRun(t, 1, "", "check", "--json", "--customers", at("bad"), "--plans", at("p"))
		is := is.New(t)
		is.NoErr(json.Unmarshal([]byte(out), &result))
		is.Equal(len(result.Problems), 2)
	})
	t.Run("bad platform", func(t *testing.T) {
		url := servePlatform(t, map[string]string{basillift.KeyPlans: plansList})
		expectRun(t, 1, "customers: found no value", "check", "--platform", url)
	})
	t.Run("missing file", func(t *testing.T) {
		expectRun(t, 3, "no such file", "check", "--customers", at("none"), "--plans", at("p"))
	})
	t.Run("platform down", func(t *testing.T) { expectRun(t, 3, "unavailable", "check", "--platform", "http://127.0.0.1:1") })
	t.Run("platform URL", func(t *testing.T) { expectRun(t, 2, "allowed: http", "check", "--platform", "tower") })
	t.Run("one list only", func(t *testing.T) { expectRun(t, 2, "give either", "check", "--customers", at("c")) })
	t.Run("files and platform", func(t *testing.T) {
		expectRun(t, 2, "give either", "check", "--customers", at("c"), "--plans", at("p"), "--platform", url)
	})
}

// Guards against usage errors that look like a result, and against a help page without examples.
func TestUsage(t *testing.T) {
	t.Run("no command", func(t *testing.T) { expectRun(t, 2, "specify one command of") })
	t.Run("unknown command", func(t *testing.T) { expectRun(t, 2, "Unknown command", "chekc") })
	t.Run("unknown option", func(t *testing.T) { expectRun(t, 2, "unknown flag", "check", "--file", "x") })
	t.Run("argument", func(t *testing.T) { expectRun(t, 2, "options only", "check", "x") })
	for _, c := range All() {
		t.Run("help "+c.Name(), func(t *testing.T) { expectRun(t, 0, "basilliftctl "+c.Name()+" --", c.Name(), "--help") })
	}
}

// Guards against checking a split list without its parts.
func TestSplitFiles(t *testing.T) {
	part := `{"epoch":1,"customers":[{"name":"kobuleti","plan":"basic"}]}`
	index := `{"epoch":1,"parts":["` + bllist.PartHash([]byte(part)) + `"]}`
	t.Run("good", func(t *testing.T) {
		at := writeFiles(t, map[string]string{"c": index, "c.1": part, "p": plansList})
		expectRun(t, 0, "1 customers", "check", "--customers", at("c"), "--plans", at("p"))
	})
	t.Run("missing part", func(t *testing.T) {
		at := writeFiles(t, map[string]string{"c": index, "p": plansList})
		expectRun(t, 3, "read customers.1", "check", "--customers", at("c"), "--plans", at("p"))
	})
	t.Run("other part", func(t *testing.T) {
		at := writeFiles(t, map[string]string{"c": index, "c.1": part + " ", "p": plansList})
		expectRun(t, 1, "customers.1: found a part with the hash", "check", "--customers", at("c"), "--plans", at("p"))
	})
}

// Guards against a diff that hides the effect of new lists on a customer.
func TestDiff(t *testing.T) {
	at := writeFiles(t, map[string]string{
		"c": customersList, "p": plansList, "bad": "{}", "p2": strings.Replace(plansList, `"epoch":1`, `"epoch":2`, 1),
		"c2": `{"epoch":1,"customers":[{"name":"kobuleti","plan":"full"},{"name":"batumi","plan":"basic"}]}`,
		"p3": strings.Replace(plansList, `{"name":"full"`, `{"name":"spare","rate":5,"services":["gallery"]},{"name":"full"`, 1),
	})
	oldLists := func(c, p string) []string { return []string{"diff", "--old-customers", at(c), "--old-plans", at(p)} }
	withNewLists := func(arguments []string, c, p string) []string {
		return append(arguments, "--customers", at(c), "--plans", at(p))
	}
	cases := []struct {
		name      string
		code      int
		want      string
		arguments []string
	}{
		{"same", 0, "0 customers change", withNewLists(oldLists("c", "p"), "c", "p")},
		{"plan change", 1, "customer kobuleti: plan basic -> full; gains gallery\n", withNewLists(oldLists("c", "p"), "c2", "p")},
		{"removed", 1, "customer poti: removed, plan was full; loses catalogue, gallery\n", withNewLists(oldLists("c", "p"), "c2", "p")},
		{"new", 1, "customer batumi: new, plan basic; gains catalogue\n", withNewLists(oldLists("c", "p"), "c2", "p")},
		{"by service", 1, "service catalogue: gained by 1 customers, lost by 1\n", withNewLists(oldLists("c", "p"), "c2", "p")},
		{"plan that nobody holds", 1, "plan spare: new\n", withNewLists(oldLists("c", "p"), "c", "p3")},
		{"lower epoch", 1, "daemons would ignore", withNewLists(oldLists("c", "p2"), "c", "p")},
		{"platform", 1, "customer poti: removed", withNewLists([]string{"diff", "--platform", servePlatform(t, map[string]string{
			basillift.KeyCustomers: customersList, basillift.KeyPlans: plansList,
		})}, "c2", "p")},
		{"invalid new lists", 1, "new lists:", withNewLists(oldLists("c", "p"), "bad", "p")},
		{"missing old lists", 3, "old lists: read customers", withNewLists(oldLists("none", "p"), "c", "p")},
		{"no new lists", 2, "give --customers and --plans", oldLists("c", "p")},
		{"no old lists", 2, "give either --old-customers", withNewLists([]string{"diff"}, "c", "p")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { expectRun(t, c.code, c.want, c.arguments...) })
	}
	t.Run("JSON", func(t *testing.T) {
		is := is.New(t)
		var result diffResult
		out := expectRun(t, 1, "", append(withNewLists(oldLists("c", "p"), "c2", "p"), "--json")...)
		is.NoErr(json.Unmarshal([]byte(out), &result))
		is.Equal(len(result.Customers), 3)
		is.Equal(result.Customers[1].Gained, []string{"gallery"})
	})
}
