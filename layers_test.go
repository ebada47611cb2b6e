package hibiscuslever_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "github.com/hibiscuslever/hibiscuslever/"

// layers are the layers from the lowest one up. A package may import its own layer and lower ones.
var layers = []string{"state", "coordination", "protocol", "transport"}

// helpers may be imported by every layer.
var helpers = []string{"timer", "checks", "tasks"}

// decisions are the packages without goroutines, I/O, clock or global random source.
var decisions = []string{
	"coordination/dispatch", "coordination/membership", "coordination/claim", "coordination/lease",
	"coordination/placement", "coordination/retry", "coordination/batch", "coordination/balance",
	"state/route", "state/roster", "state/container", "state/id", "state/limit", "state/lists", "state/outcome", "state/quarantine",
}

// impure are packages that decisions must not import.
var impure = []string{"net", "net/http", "os", "sync", "context", "log/slog", module + "timer"}

// layerOf returns the position of a package's layer, or -1 if it belongs to none.
func layerOf(path string) int {
	name, _, _ := strings.Cut(path, "/")
	return slices.Index(layers, name)
}

// checkFile returns what is wrong with the imports and statements of a source file.
func checkFile(path string, source any) ([]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, source, parser.ImportsOnly)
	if err != nil {
		return nil, err
	}
	dir := filepath.ToSlash(filepath.Dir(path))
	var problems []string
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		own, inModule := strings.CutPrefix(name, module)
		if inModule && layerOf(dir) >= 0 && !slices.Contains(helpers, own) && (layerOf(own) < 0 || layerOf(own) > layerOf(dir)) {
			problems = append(problems, dir+" imports "+own+" of a higher layer")
		}
		if slices.Contains(decisions, dir) && slices.Contains(impure, name) {
			problems = append(problems, dir+" decides and imports "+name)
		}
	}
	return problems, nil
}

// clockUses are calls that decisions must not make.
var clockUses = []string{"time.Now(", "time.Since(", "time.Sleep(", "time.After", "time.NewTimer(", "time.NewTicker(", "\tgo ", "rand.IntN(", "rand.Float64(", "rand.Shuffle("}

func TestImportsRespectLayers(t *testing.T) {
	checked := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		problems, err := checkFile(path, nil)
		assert.NilError(t, err)
		assert.Equal(t, len(problems), 0, "%s: %v", path, problems)
		if slices.Contains(decisions, filepath.ToSlash(filepath.Dir(path))) {
			checkPure(t, path)
		}
		checked++
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, checked > len(decisions))
}

func checkPure(t *testing.T, path string) {
	t.Helper()
	source, err := os.ReadFile(path)
	assert.NilError(t, err)
	for _, use := range clockUses {
		assert.Assert(t, !strings.Contains(string(source), use), "%s decides and calls %s", path, use)
	}
}

// TestImportViolationsAreDetected proves the check.
func TestImportViolationsAreDetected(t *testing.T) {
	source := "package id\nimport (\n\"net\"\n\"" + module + "transport/caller\"\n)\n"
	problems, err := checkFile("state/id/bad.go", source)
	assert.NilError(t, err)
	assert.DeepEqual(t, problems, []string{
		"state/id decides and imports net",
		"state/id imports transport/caller of a higher layer",
	})
}

// wireNames are names of the users' platform that only its adapter and the stand-ins know.
var wireNames = []string{
	"X-Attempt-Id", "X-Response-Seal", "X-Helpers", "X-Expect-Instance", "X-Not-Executed", "X-Engine-Load", "X-Token-Count",
	"X-Deadline-Ms", "/-/log-", "/-/order", "/-/report", "keyed.servers", "keyed.op", "KvCapacityTokens", "TargetLatencyMs",
}

// wireNamesIn returns the names of the users' platform that a source file holds outside the folders that may know them.
func wireNamesIn(path, source string) []string {
	for _, folder := range []string{"platform/", "standin/"} {
		if strings.HasPrefix(filepath.ToSlash(path), folder) {
			return nil
		}
	}
	var found []string
	for _, name := range wireNames {
		if strings.Contains(source, name) {
			found = append(found, name)
		}
	}
	return found
}

// TestWireNamesStayInPlatformAdapter keeps the platform's names out of the product.
func TestWireNamesStayInPlatformAdapter(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		assert.NilError(t, err)
		found := wireNamesIn(path, string(source))
		assert.Equal(t, len(found), 0, "%s knows %v", path, found)
		return nil
	})
	assert.NilError(t, err)
}

// TestWireNamesOutsideAdapterAreDetected proves the check.
func TestWireNamesOutsideAdapterAreDetected(t *testing.T) {
	assert.DeepEqual(t, wireNamesIn("state/id/bad.go", `"X-Attempt-Id"`), []string{"X-Attempt-Id"})
	assert.Equal(t, len(wireNamesIn("platform/good.go", `"X-Attempt-Id"`)), 0)
}
