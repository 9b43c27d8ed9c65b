package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDocsNameExistingTestsAndFiles guards against pages that still name a test or a Go file after it was renamed.
func TestDocsNameExistingTestsAndFiles(t *testing.T) {
	root := ".."
	tests, files := map[string]bool{}, map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		files[filepath.Base(path)] = true
		if !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, decl := range f.Decls {
			if fn, ok := decl.(*ast.FuncDecl); ok {
				tests[fn.Name.Name] = true
			}
		}
		return nil
	})
	assert.NilError(t, err)
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	assert.NilError(t, err)
	assert.Assert(t, len(pages) > 0)
	incidents, err := filepath.Glob(filepath.Join(root, "docs", "incidents", "*.md"))
	assert.NilError(t, err)
	assert.Assert(t, len(incidents) > 0)
	pages = append(pages, incidents...)
	pages = append(pages, filepath.Join(root, "README.md"), filepath.Join(root, "KNOWN-RED.txt"))
	testName := regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w*`)
	fileName := regexp.MustCompile(`[\w-]+\.go\b`)
	for _, page := range pages {
		b, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, name := range testName.FindAllString(string(b), -1) {
			assert.Check(t, tests[name], "%s: no test is named %s", page, name)
		}
		for _, name := range fileName.FindAllString(string(b), -1) {
			assert.Check(t, files[name], "%s: no file is named %s", page, name)
		}
	}
}
