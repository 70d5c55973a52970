// Package jsondoc reads JSON documents strictly. Each error names the file, the
// line, the path of the field, its value and what is allowed. A field that the
// reader does not request is an error.
package jsondoc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
)

// maxDepth is the largest number of nested objects and arrays that are read. It is several times
// that of any document. What is nested deeper is skipped, because the memory for the paths of nodes
// grows with the square of the depth.
const maxDepth = 32

// PathDocument is the path of an error in the syntax of a document.
const PathDocument = "document"

// Error is a single error in a document.
type Error struct {
	File string
	// Line counts from 1.
	Line int
	// Path is the path of the field, as in services[2].slots.
	Path string
	// Value is the invalid value as written in the document. It is empty for
	// objects, arrays and absent fields.
	Value string
	// Message describes the error or what is allowed.
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	position := fmt.Sprintf("%s:%d", e.File, e.Line)
	if e.Value == "" {
		return fmt.Sprintf("%s: %s: %s", position, e.Path, e.Message)
	}
	return fmt.Sprintf("%s: %s: value %s: %s", position, e.Path, e.Value, e.Message)
}

// Document is a parsed file. It collects the errors that are found while its
// nodes are read.
type Document struct {
	file string
	raw  []byte
	errs []error
	// values is how many more values may be read.
	values int
	// lines holds the offsets of the line ends, once they are needed.
	lines []int64
}

// Node is one value in a document, or an absent field.
type Node struct {
	doc       *Document
	path      string
	offset    int64
	kind      kind
	scalar    any
	names     []string
	fields    map[string]*Node
	items     []*Node
	requested map[string]bool
	// duplicates are the fields of an object that occur again.
	duplicates []*Node
}

type kind int

const (
	kindAbsent kind = iota
	kindScalar
	kindObject
	kindArray
	// kindTooDeep is the kind of a value that was skipped because it is nested too deep.
	kindTooDeep
)

// Parse parses a document whose top level is an object.
func Parse(file string, raw []byte) (*Node, *Document, error) {
	doc := &Document{file: file, raw: raw, values: max(minValues, len(raw)/valueBytes)}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	root, err := doc.parseValue(decoder, "", 0)
	if err != nil {
		return nil, nil, doc.syntaxError(decoder, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, nil, doc.syntaxError(decoder, errors.New("more than one value"))
	}
	if root.kind != kindObject {
		return nil, nil, doc.syntaxError(decoder, errors.New("the top level must be an object"))
	}
	return root, doc, nil
}

func (d *Document) syntaxError(decoder *json.Decoder, err error) error {
	return &Error{File: d.file, Line: d.lineAt(decoder.InputOffset()), Path: PathDocument, Message: err.Error()}
}

// lineAt returns the line number at an offset in the document.
func (d *Document) lineAt(offset int64) int {
	if d.lines == nil {
		d.lines = []int64{}
		for at, char := range d.raw {
			if char == '\n' {
				d.lines = append(d.lines, int64(at))
			}
		}
	}
	line, _ := slices.BinarySearch(d.lines, offset)
	return 1 + line
}

// parseValue parses the next value, which is nested in depth objects and arrays.
func (d *Document) parseValue(decoder *json.Decoder, path string, depth int) (*Node, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	if d.values--; d.values < 0 {
		return nil, ErrTooManyItems
	}
	node := &Node{doc: d, path: path, offset: decoder.InputOffset(), kind: kindScalar, scalar: token}
	switch {
	case token != json.Delim('{') && token != json.Delim('['):
		return node, nil
	case depth == maxDepth:
		node.kind = kindTooDeep
		return node, skipValue(decoder)
	case token == json.Delim('{'):
		return node, d.parseObject(decoder, node, depth+1)
	}
	return node, d.parseArray(decoder, node, depth+1)
}

// skipValue reads the rest of an object or array whose first delimiter was read.
func skipValue(decoder *json.Decoder) error {
	for open := 1; open > 0; {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			open++
		case json.Delim('}'), json.Delim(']'):
			open--
		}
	}
	return nil
}

func (d *Document) parseObject(decoder *json.Decoder, node *Node, depth int) error {
	node.kind = kindObject
	node.fields = map[string]*Node{}
	node.requested = map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		field, err := d.parseValue(decoder, joinPath(node.path, name), depth)
		if err != nil {
			return err
		}
		if _, occurred := node.fields[name]; occurred {
			node.duplicates = append(node.duplicates, field)
		}
		node.fields[name] = field
		node.names = append(node.names, name)
	}
	_, err := decoder.Token()
	return err
}

func (d *Document) parseArray(decoder *json.Decoder, node *Node, depth int) error {
	node.kind = kindArray
	for decoder.More() {
		item, err := d.parseValue(decoder, fmt.Sprintf("%s[%d]", node.path, len(node.items)), depth)
		if err != nil {
			return err
		}
		node.items = append(node.items, item)
	}
	_, err := decoder.Token()
	return err
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Err returns all errors found so far, joined, or nil.
func (d *Document) Err() error {
	return errors.Join(d.errs...)
}

// TakeErr returns all errors found since the last call, joined, or nil, and forgets them. It lets
// a reader leave out a part of a document that is invalid.
func (d *Document) TakeErr() error {
	err := d.Err()
	d.errs = nil
	return err
}

// AddError records an error at the value, unless there are many already. Reading continues.
func (n *Node) AddError(format string, values ...any) {
	if len(n.doc.errs) >= maxErrors {
		return
	}
	failure := &Error{
		File:    n.doc.file,
		Line:    n.doc.lineAt(n.offset),
		Path:    n.path,
		Message: fmt.Sprintf(format, values...),
	}
	if n.kind == kindScalar {
		failure.Value = fmt.Sprintf("%#v", n.scalar)
		if number, ok := n.scalar.(json.Number); ok {
			failure.Value = number.String()
		}
	}
	n.doc.errs = append(n.doc.errs, failure)
}

// Present reports whether the value exists in the document.
func (n *Node) Present() bool {
	return n.kind != kindAbsent
}

// Field returns a field of an object, or an absent node if it does not exist.
func (n *Node) Field(name string) *Node {
	if n.requested != nil {
		n.requested[name] = true
	}
	if field, ok := n.fields[name]; ok {
		return field
	}
	return &Node{doc: n.doc, path: joinPath(n.path, name), offset: n.offset}
}

// RejectUnknownFields records an error for each field that was not requested with Field or that
// occurs twice.
func (n *Node) RejectUnknownFields() {
	if n.kind != kindObject {
		n.AddError("must be an object")
		return
	}
	for _, duplicate := range n.duplicates {
		duplicate.AddError("the field occurs twice")
	}
	known := slices.Sorted(maps.Keys(n.requested))
	for _, name := range n.names {
		if !n.requested[name] {
			n.fields[name].AddError("unknown field; known fields are %s", strings.Join(known, ", "))
		}
	}
}

// Items returns the items of an array. It records an error if there are fewer
// than minimum.
func (n *Node) Items(minimum int) []*Node {
	if n.kind != kindArray {
		if n.Present() || minimum > 0 {
			n.AddError("must be an array")
		}
		return nil
	}
	if len(n.items) < minimum {
		n.AddError("must have at least %d items", minimum)
	}
	return n.items
}

// Text returns a string and records an error if it is empty.
func (n *Node) Text() string {
	text, ok := n.scalar.(string)
	if !ok || text == "" {
		n.AddError("must be a string that is not empty")
	}
	return text
}

// TextOr returns a string, or fallback if the field is absent.
func (n *Node) TextOr(fallback string) string {
	if !n.Present() {
		return fallback
	}
	return n.Text()
}

// Address returns an IP address with a port.
func (n *Node) Address() string {
	text := n.Text()
	if _, err := netip.ParseAddrPort(text); err != nil {
		n.AddError("must be an IP number and a port, as in 127.0.0.1:8080")
	}
	return text
}

// RemoteAddress returns an IP address with a port that a connection can be opened to.
func (n *Node) RemoteAddress() string {
	text := n.Address()
	if address, err := netip.ParseAddrPort(text); err == nil && (address.Port() == 0 || address.Addr().IsUnspecified()) {
		n.AddError("must be the address of another process, as in 127.0.0.1:8080")
	}
	return text
}

// IP returns an IP address.
func (n *Node) IP() string {
	text := n.Text()
	if _, err := netip.ParseAddr(text); err != nil {
		n.AddError("must be an IP number, as in 127.0.0.1")
	}
	return text
}

// OneOf returns a string that is one of the allowed. For any other value it
// records an error and returns the empty string.
func (n *Node) OneOf(allowed ...string) string {
	text, _ := n.scalar.(string)
	for _, a := range allowed {
		if text == a {
			return text
		}
	}
	n.AddError("must be one of %s", strings.Join(allowed, ", "))
	return ""
}

// Int returns an integer from minimum to maximum. For any other value it records
// an error and returns minimum.
func (n *Node) Int(minimum, maximum int64) int64 {
	number, ok := n.scalar.(json.Number)
	if !ok {
		n.AddError("must be a whole number from %d to %d", minimum, maximum)
		return minimum
	}
	value, err := number.Int64()
	if err != nil || value < minimum || value > maximum {
		n.AddError("must be a whole number from %d to %d", minimum, maximum)
		return minimum
	}
	return value
}

// IntOr returns what Int returns, or fallback if the field is absent.
func (n *Node) IntOr(minimum, maximum, fallback int64) int64 {
	if !n.Present() {
		return fallback
	}
	return n.Int(minimum, maximum)
}

// Float returns a number from minimum to maximum. For any other value it records
// an error and returns minimum.
func (n *Node) Float(minimum, maximum float64) float64 {
	number, ok := n.scalar.(json.Number)
	if !ok {
		n.AddError("must be a number from %g to %g", minimum, maximum)
		return minimum
	}
	value, err := number.Float64()
	if err != nil || value < minimum || value > maximum {
		n.AddError("must be a number from %g to %g", minimum, maximum)
		return minimum
	}
	return value
}

// BoolOr returns a boolean, or fallback if the field is absent.
func (n *Node) BoolOr(fallback bool) bool {
	if !n.Present() {
		return fallback
	}
	value, ok := n.scalar.(bool)
	if !ok {
		n.AddError("must be true or false")
	}
	return value
}
