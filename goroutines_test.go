package hibiscuslever_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// unguardedFolders may start goroutines in which a panic ends the process: package tasks itself, programs other than the
// daemon, and tests.
var unguardedFolders = []string{"tasks", "cmd/hibiscuslever", "cmd/standin", "demo", "experiment", "measure", "review", "soak", "standin", "testutil", "tools"}

// callbackFunctions take a function that they call in a goroutine of its own.
var callbackFunctions = []string{"time.AfterFunc", "context.AfterFunc"}

// unguardedGoroutines describes the places of a source file that start goroutines in which a panic ends the process at
// once, instead of going to the subscribers of tasks.NotifyPanics. The parameter source is as for parser.ParseFile.
func unguardedGoroutines(path string, source any) ([]string, error) {
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, source, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var places []string
	report := func(node ast.Node, what string) {
		places = append(places, fmt.Sprintf("line %d: %s", fileSet.Position(node.Pos()).Line, what))
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch nd := node.(type) {
		case *ast.GoStmt:
			report(nd, "go statement instead of tasks.Go")
		case *ast.SelectorExpr:
			if qualifiedName(nd) == "sync.WaitGroup" {
				report(nd, "sync.WaitGroup instead of tasks.WaitGroup")
			}
		case *ast.CallExpr:
			name := qualifiedName(nd.Fun)
			if slices.Contains(callbackFunctions, name) && !isGuarded(nd.Args[len(nd.Args)-1]) {
				report(nd, name+" without tasks.Guarded")
			}
		case *ast.ImportSpec:
			if strings.Contains(nd.Path.Value, "errgroup") {
				report(nd, "errgroup instead of tasks.Group")
			}
		}
		return true
	})
	return places, nil
}

// qualifiedName returns an expression of the form package.Name as text, and an empty text for others.
func qualifiedName(expression ast.Expr) string {
	selector, ok := expression.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if qualifier, ok := selector.X.(*ast.Ident); ok {
		return qualifier.Name + "." + selector.Sel.Name
	}
	return ""
}

// isGuarded reports whether an expression is a call of tasks.Guarded.
func isGuarded(expression ast.Expr) bool {
	call, ok := expression.(*ast.CallExpr)
	return ok && qualifiedName(call.Fun) == "tasks.Guarded"
}

// TestPanicInGoroutineEndsProcess checks that the host's code starts goroutines through package tasks only.
func TestPanicInGoroutineEndsProcess(t *testing.T) {
	checkedFiles := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if slices.Contains(unguardedFolders, filepath.ToSlash(path)) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		places, err := unguardedGoroutines(path, nil)
		assert.NilError(t, err)
		assert.Check(t, len(places) == 0, "%s: %s", path, strings.Join(places, "; "))
		checkedFiles++
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, checkedFiles > len(layers))
}

// TestUnguardedGoroutinesAreDetected guards against a check of goroutines that never reports anything.
func TestUnguardedGoroutinesAreDetected(t *testing.T) {
	source := `package p
import "golang.org/x/sync/errgroup"
func f() {
	go f()
	var wg sync.WaitGroup
	time.AfterFunc(0, f)
	context.AfterFunc(ctx, func() {})
	time.AfterFunc(0, tasks.Guarded(f))
	tasks.Go(f)
}`
	places, err := unguardedGoroutines("state/id/bad.go", source)
	assert.NilError(t, err)
	assert.DeepEqual(t, places, []string{
		"line 2: errgroup instead of tasks.Group",
		"line 4: go statement instead of tasks.Go",
		"line 5: sync.WaitGroup instead of tasks.WaitGroup",
		"line 6: time.AfterFunc without tasks.Guarded",
		"line 7: context.AfterFunc without tasks.Guarded",
	})
}
