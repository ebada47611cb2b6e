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

const modulePrefix = "github.com/hibiscuslever/hibiscuslever/"

// layers are the folders of the layers, lowest first. A package may import packages of its own layer and of lower ones.
var layers = []string{"state", "coordination", "protocol", "transport"}

// sharedPackages belong to no layer and may be imported by all of them.
var sharedPackages = []string{"timer", "testutil", "tasks"}

// purePackages hold decision logic. They start no goroutines, do no I/O, and use neither the clock nor the global
// random source, so that tests can replay their decisions.
var purePackages = []string{
	"coordination/dispatch", "coordination/membership", "coordination/claim", "coordination/lease",
	"coordination/placement", "coordination/retry", "coordination/batch", "coordination/balance", "coordination/reachability",
	"coordination/succession",
	"state/coldstart", "state/route", "state/serverlist", "state/container", "state/evacuation", "state/id", "state/limit", "state/lists", "state/outcome", "state/quarantine", "state/serverlimit",
}

// impureImports are packages that pure packages must not import.
var impureImports = []string{"net", "net/http", "os", "sync", "context", "log/slog", modulePrefix + "timer"}

// layerIndex returns the index in layers of the layer that holds a package, or -1 if none does.
func layerIndex(path string) int {
	name, _, _ := strings.Cut(path, "/")
	return slices.Index(layers, name)
}

// importProblems describes each import of a source file that the layers or the purity of its package forbid. The
// parameter source is as for parser.ParseFile; if nil, the file is read from path.
func importProblems(path string, source any) ([]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, source, parser.ImportsOnly)
	if err != nil {
		return nil, err
	}
	dir := filepath.ToSlash(filepath.Dir(path))
	var problems []string
	for _, importSpec := range file.Imports {
		importPath, err := strconv.Unquote(importSpec.Path.Value)
		if err != nil {
			return nil, err
		}
		importedDir, inModule := strings.CutPrefix(importPath, modulePrefix)
		if inModule && layerIndex(dir) >= 0 && !slices.Contains(sharedPackages, importedDir) && (layerIndex(importedDir) < 0 || layerIndex(importedDir) > layerIndex(dir)) {
			problems = append(problems, dir+" imports "+importedDir+" of a higher layer")
		}
		if slices.Contains(purePackages, dir) && slices.Contains(impureImports, importPath) {
			problems = append(problems, dir+" is pure and imports "+importPath)
		}
	}
	return problems, nil
}

// impureCalls are pieces of source text that must not occur in pure packages: uses of the clock and of the global
// random source, and starts of goroutines.
var impureCalls = []string{"time.Now(", "time.Since(", "time.Sleep(", "time.After", "time.NewTimer(", "time.NewTicker(", "\tgo ", "rand.IntN(", "rand.Float64(", "rand.Shuffle("}

// TestImportsRespectLayers checks the imports of all packages, and the calls of those that must be pure.
func TestImportsRespectLayers(t *testing.T) {
	checkedFiles := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		problems, err := importProblems(path, nil)
		assert.NilError(t, err)
		assert.Equal(t, len(problems), 0, "%s: %v", path, problems)
		if slices.Contains(purePackages, filepath.ToSlash(filepath.Dir(path))) {
			assertNoImpureCalls(t, path)
		}
		checkedFiles++
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, checkedFiles > len(purePackages))
}

func assertNoImpureCalls(t *testing.T, path string) {
	t.Helper()
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	for _, call := range impureCalls {
		assert.Assert(t, !strings.Contains(string(content), call), "%s belongs to a pure package and contains %s", path, call)
	}
}

// TestImportViolationsAreDetected guards against a check of imports that never reports anything.
func TestImportViolationsAreDetected(t *testing.T) {
	source := "package id\nimport (\n\"net\"\n\"" + modulePrefix + "transport/caller\"\n)\n"
	problems, err := importProblems("state/id/bad.go", source)
	assert.NilError(t, err)
	assert.DeepEqual(t, problems, []string{
		"state/id is pure and imports net",
		"state/id imports transport/caller of a higher layer",
	})
}

// wireNames are headers, paths and fields of the users' platform. Only the platform's adapter and the stand-ins may
// contain them.
var wireNames = []string{
	"X-Attempt-Id", "X-Response-Seal", "X-Helpers", "X-Expect-Instance", "X-Not-Executed", "X-Engine-Load", "X-Token-Count",
	"X-Deadline-Ms", "/-/log-", "/-/order", "/-/report", "keyed.servers", "keyed.op", "KvCapacityTokens", "TargetLatencyMs",
}

// misplacedWireNames returns the wire names that a source file contains although it lies outside the folders of the
// adapter and the stand-ins.
func misplacedWireNames(path, source string) []string {
	for _, folder := range []string{"platform/", "standin/"} {
		if strings.HasPrefix(filepath.ToSlash(path), folder) {
			return nil
		}
	}
	var misplaced []string
	for _, name := range wireNames {
		if strings.Contains(source, name) {
			misplaced = append(misplaced, name)
		}
	}
	return misplaced
}

// TestWireNamesStayInPlatformAdapter checks that no other package depends on names of the users' platform, so that a
// change of its protocol affects the adapter and the stand-ins only.
func TestWireNamesStayInPlatformAdapter(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		assert.NilError(t, err)
		misplaced := misplacedWireNames(path, string(content))
		assert.Equal(t, len(misplaced), 0, "%s contains %v", path, misplaced)
		return nil
	})
	assert.NilError(t, err)
}

// TestWireNamesOutsideAdapterAreDetected guards against a check of wire names that never reports anything.
func TestWireNamesOutsideAdapterAreDetected(t *testing.T) {
	assert.DeepEqual(t, misplacedWireNames("state/id/bad.go", `"X-Attempt-Id"`), []string{"X-Attempt-Id"})
	assert.Equal(t, len(misplacedWireNames("platform/good.go", `"X-Attempt-Id"`)), 0)
}
