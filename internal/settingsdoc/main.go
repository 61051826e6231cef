// Command settingsdoc writes docs/SETTINGS.md from the doc comments of
// pkg/settings.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
)

const (
	source = "pkg/settings/settings.go"
	target = "docs/SETTINGS.md"
	root   = "Settings"
	intro  = "# Settings\n\n" +
		"A node reads one TOML file, named on its command line. `masticmountd --check-settings FILE` and\n" +
		"`masticmount check-settings FILE` report every fault at once. Unknown keys are faults. This page is\n" +
		"made from the doc comments in `pkg/settings`; `make generate` renews it. The quarantine of prompt parts\n" +
		"has no settings; its limits are in [operations/quarantine.md](operations/quarantine.md#limits).\n"
)

func main() {
	text, err := os.ReadFile(source)
	if err == nil {
		var page string
		if page, err = render(string(text)); err == nil {
			err = os.WriteFile(target, []byte(page), 0o600)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// structDoc is one struct of the settings with its comment.
type structDoc struct {
	comment string
	fields  []*ast.Field
}

// render returns the page for the Go source of the settings.
func render(text string) (string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), source, text, parser.ParseComments)
	if err != nil {
		return "", fmt.Errorf("parse %s: %w", source, err)
	}
	structs := collect(file)
	var b strings.Builder
	b.WriteString(intro)
	for _, field := range structs[root].fields {
		writeSection(&b, structs, field)
	}
	return b.String(), nil
}

func collect(file *ast.File) map[string]structDoc {
	structs := map[string]structDoc{}
	for _, decl := range file.Decls {
		gen, ok := decl.(*ast.GenDecl)
		if !ok || gen.Tok != token.TYPE {
			continue
		}
		for _, spec := range gen.Specs {
			typed, _ := spec.(*ast.TypeSpec)
			if fields, ok := typed.Type.(*ast.StructType); ok {
				structs[typed.Name.Name] = structDoc{comment: oneLine(gen.Doc), fields: fields.Fields.List}
			}
		}
	}
	return structs
}

func writeSection(b *strings.Builder, structs map[string]structDoc, field *ast.Field) {
	key, name := tomlKey(field), typeName(field.Type)
	heading := "[" + key + "]"
	if _, list := field.Type.(*ast.ArrayType); list {
		heading = "[[" + key + "]]"
	}
	fmt.Fprintf(b, "\n## `%s`\n\n%s\n\n| key | type | meaning |\n|---|---|---|\n", heading, structs[name].comment)
	for _, f := range structs[name].fields {
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", tomlKey(f), shownType(f.Type), oneLine(f.Doc))
	}
}

func tomlKey(field *ast.Field) string {
	if field.Tag == nil {
		return ""
	}
	return reflect.StructTag(strings.Trim(field.Tag.Value, "`")).Get("toml")
}

func typeName(expr ast.Expr) string {
	switch t := expr.(type) {
	case *ast.ArrayType:
		return typeName(t.Elt)
	case *ast.Ident:
		return t.Name
	default:
		return ""
	}
}

func shownType(expr ast.Expr) string {
	shown := map[string]string{"int": "number", "bool": "true or false", "Duration": "duration", "Role": "text", "string": "text", "float64": "number"}[typeName(expr)]
	if _, list := expr.(*ast.ArrayType); list {
		return "list of " + shown
	}
	return shown
}

func oneLine(comment *ast.CommentGroup) string {
	return strings.Join(strings.Fields(comment.Text()), " ")
}
