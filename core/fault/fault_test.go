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

// declaredKinds returns the string constants of kind.go, which include those without a row
// in the table.
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
			t.Errorf("the table has a row for %q, which is not declared in kind.go", k)
		}
		delete(declared, k)
	}
	for k := range declared {
		t.Errorf("kind %q has no row in the table", k)
	}
}

func TestStatusMatchesRan(t *testing.T) {
	for _, k := range fault.Kinds() {
		r := k.Response()
		if notRun := r.Status() == 429 || r.Status() == 503; notRun && r.Ran() != fault.RanNo {
			t.Errorf("%s: status %d implies that the request did not run, but ran=%s", k, r.Status(), r.Ran())
		}
		if r.Status() < 400 || r.Text() == "" {
			t.Errorf("%s: got status %d and text %q, want an error status and a text", k, r.Status(), r.Text())
		}
	}
}

func TestUnlistedKindDoesNotClaimNotRun(t *testing.T) {
	if got := fault.Kind("made_up").Response().Ran(); got != fault.RanUnknown {
		t.Errorf("ran = %s, want %s", got, fault.RanUnknown)
	}
}

func TestKindOf(t *testing.T) {
	cause := errors.New("cause")
	if got := fault.KindOf(fault.Wrap(fault.NoTarget, cause)); got != fault.NoTarget {
		t.Errorf("KindOf of a wrapped error = %s, want %s", got, fault.NoTarget)
	}
	if got := fault.KindOf(cause); got != fault.Internal {
		t.Errorf("KindOf of a plain error = %s, want %s", got, fault.Internal)
	}
	if fault.KindOf(nil) != "" || fault.Wrap(fault.NoTarget, nil) != nil {
		t.Error("KindOf(nil) is not empty, or Wrap of a nil cause is not nil")
	}
}
