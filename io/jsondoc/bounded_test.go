package jsondoc

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestItemsAreCounted guards against items that are missed, or counted inside of others.
func TestItemsAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.String(), 1, 20).Draw(t, "texts")
		nested, err := json.Marshal([]any{texts, map[string]any{"a": texts, ",": 1}, texts[0], nil})
		if err != nil {
			t.Fatal(err)
		}
		flat, err := json.Marshal(texts)
		if err != nil {
			t.Fatal(err)
		}
		if got := countItems(nested); got != 4 {
			t.Errorf("%s: %d items", nested, got)
		}
		if got := countItems(flat); got != len(texts) {
			t.Errorf("%s: %d items, want %d", flat, got, len(texts))
		}
	})
}

// TestBoundedItems guards against bounds on items that are not kept, or that refuse a list that is
// within them.
func TestBoundedItems(t *testing.T) {
	list := func(count int, item string) []byte {
		return []byte("[" + strings.TrimSuffix(strings.Repeat(item+",", count), ",") + "]")
	}
	large := `"` + strings.Repeat("x", itemBytes) + `"`
	cases := []struct {
		name  string
		raw   []byte
		valid bool
	}{
		{"no items", []byte("[]"), true},
		{"null", []byte("null"), true},
		{"the most empty items", list(minItems, `""`), true},
		{"one empty item more", list(minItems+1, `""`), false},
		{"more items that are large", list(4*minItems, large), true},
		{"an object", []byte("{}"), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var decoded List[string]
			if err := json.Unmarshal(tc.raw, &decoded); (err == nil) != tc.valid {
				t.Errorf("got %v", err)
			}
		})
	}
	var decoded Map[List[int]]
	if err := json.Unmarshal([]byte(`{"a":`+string(list(minItems+1, "1"))+`}`), &decoded); !errors.Is(err, ErrTooManyItems) {
		t.Errorf("a list in a map: got %v", err)
	}
}

// TestManyErrors guards against errors of a document without end, and against wrong lines in them.
func TestManyErrors(t *testing.T) {
	raw := "{\n\"a\": [" + strings.TrimSuffix(strings.Repeat("\n1,", 1000), ",") + "]}"
	root, doc, err := Parse("f", []byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	for _, item := range root.Field("a").Items(0) {
		item.Text()
	}
	lines := strings.Split(doc.Err().Error(), "\n")
	if len(lines) != maxErrors || !strings.HasPrefix(lines[0], "f:3: a[0]") || !strings.HasPrefix(lines[99], "f:102: a[99]") {
		t.Errorf("%d errors, the first %q, the last %q", len(lines), lines[0], lines[len(lines)-1])
	}
}
