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

const modulePath = "github.com/hibiscuslever/hibiscuslever/"

// layers are the layers from the lowest one up. A package may import its own layer and lower ones.
var layers = []string{"state", "coordination", "protocol", "transport"}

// sharedPackages may be imported by every layer.
var sharedPackages = []string{"timer", "checks", "tasks"}

// purePackages are the packages without goroutines, I/O, clock or global random source.
var purePackages = []string{
	"coordination/dispatch", "coordination/membership", "coordination/claim", "coordination/lease",
	"coordination/placement", "coordination/retry", "coordination/batch", "coordination/balance",
	"state/route", "state/roster", "state/container", "state/id", "state/limit", "state/lists", "state/outcome", "state/quarantine",
}

// impureImports are packages that decisions must not import.
var impureImports = []string{"net", "net/http", "os", "sync", "context", "log/slog", modulePath + "timer"}

// layerIndex returns the position of a package's layer, or -1 if it belongs to none.
func layerIndex(path string) int {
	name, _, _ := strings.Cut(path, "/")
	return slices.Index(layers, name)
}

// importProblems returns what is wrong with the imports and statements of a source file.
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
		importedDir, inModule := strings.CutPrefix(importPath, modulePath)
		if inModule && layerIndex(dir) >= 0 && !slices.Contains(sharedPackages, importedDir) && (layerIndex(importedDir) < 0 || layerIndex(importedDir) > layerIndex(dir)) {
			problems = append(problems, dir+" imports "+importedDir+" of a higher layer")
		}
		if slices.Contains(purePackages, dir) && slices.Contains(impureImports, importPath) {
			problems = append(problems, dir+" decides and imports "+importPath)
		}
	}
	return problems, nil
}

// impureCalls are calls that decisions must not make.
var impureCalls = []string{"time.Now(", "time.Since(", "time.Sleep(", "time.After", "time.NewTimer(", "time.NewTicker(", "\tgo ", "rand.IntN(", "rand.Float64(", "rand.Shuffle("}

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
	source, err := os.ReadFile(path)
	assert.NilError(t, err)
	for _, call := range impureCalls {
		assert.Assert(t, !strings.Contains(string(source), call), "%s decides and calls %s", path, call)
	}
}

// TestImportViolationsAreDetected proves the check.
func TestImportViolationsAreDetected(t *testing.T) {
	source := "package id\nimport (\n\"net\"\n\"" + modulePath + "transport/caller\"\n)\n"
	problems, err := importProblems("state/id/bad.go", source)
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

// misplacedWireNames returns the names of the users' platform that a source file holds outside the folders that may know them.
func misplacedWireNames(path, source string) []string {
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
		found := misplacedWireNames(path, string(source))
		assert.Equal(t, len(found), 0, "%s knows %v", path, found)
		return nil
	})
	assert.NilError(t, err)
}

// TestWireNamesOutsideAdapterAreDetected proves the check.
func TestWireNamesOutsideAdapterAreDetected(t *testing.T) {
	assert.DeepEqual(t, misplacedWireNames("state/id/bad.go", `"X-Attempt-Id"`), []string{"X-Attempt-Id"})
	assert.Equal(t, len(misplacedWireNames("platform/good.go", `"X-Attempt-Id"`)), 0)
}
