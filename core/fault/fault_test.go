package fault_test

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"clovertrail.dev/core/fault"
)

// declaredKinds reads the constants of kind.go, so that a constant without a
// row is found.
func declaredKinds(t *testing.T) map[fault.Kind]bool {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "kind.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[fault.Kind]bool{}
	ast.Inspect(f, func(n ast.Node) bool {
		if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
			s, _ := strconv.Unquote(l.Value)
			kinds[fault.Kind(s)] = true
		}
		return true
	})
	return kinds
}

func TestTableCoversKinds(t *testing.T) {
	declared := declaredKinds(t)
	for _, k := range fault.Kinds() {
		if !declared[k] {
			t.Errorf("table has %q, which is not declared", k)
		}
		delete(declared, k)
	}
	for k := range declared {
		t.Errorf("kind %q has no row in the table", k)
	}
}

func TestRowsAreCoherent(t *testing.T) {
	for _, k := range fault.Kinds() {
		a := k.Response()
		if promises := a.Status() == 429 || a.Status() == 503; promises && a.Ran() != fault.RanNo {
			t.Errorf("%s: status %d promises that it did not run, ran=%s", k, a.Status(), a.Ran())
		}
		if a.Status() < 400 || a.Text() == "" {
			t.Errorf("%s: status %d, text %q", k, a.Status(), a.Text())
		}
	}
}

func TestUnlistedKindNeverClaimsNotRun(t *testing.T) {
	if got := fault.Kind("made_up").Response().Ran(); got != fault.RanUnknown {
		t.Errorf("ran = %s, want unknown", got)
	}
}

func TestKindOf(t *testing.T) {
	cause := errors.New("cause")
	if got := fault.KindOf(fault.Wrap(fault.NoTarget, cause)); got != fault.NoTarget {
		t.Errorf("KindOf = %s", got)
	}
	if got := fault.KindOf(cause); got != fault.Internal {
		t.Errorf("KindOf of a plain error = %s", got)
	}
	if fault.KindOf(nil) != "" || fault.Wrap(fault.NoTarget, nil) != nil {
		t.Error("nil must stay nil")
	}
}
