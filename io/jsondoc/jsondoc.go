// Package jsondoc reads JSON documents strictly: each error names the file, the
// line, the path of the field, its value and what is allowed, and a field that
// nobody asked for is an error.
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

// Error is one fault in a document.
type Error struct {
	File string
	// Line counts from 1.
	Line int
	// Path names the field, as in services[2].slots.
	Path string
	// Value is the offending value as it stands in the document.
	Value string
	// Allowed says what would be accepted.
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	place := fmt.Sprintf("%s:%d", e.File, e.Line)
	if e.Value == "" {
		return fmt.Sprintf("%s: %s: %s", place, e.Path, e.Allowed)
	}
	return fmt.Sprintf("%s: %s: value %s: %s", place, e.Path, e.Value, e.Allowed)
}

// Document is a parsed file whose faults are collected as it is read.
type Document struct {
	file   string
	raw    []byte
	faults []error
}

// Node is one value in a document.
type Node struct {
	doc    *Document
	path   string
	offset int64
	kind   kind
	scalar any
	names  []string
	fields map[string]*Node
	items  []*Node
	used   map[string]bool
}

type kind int

const (
	kindAbsent kind = iota
	kindScalar
	kindObject
	kindArray
)

// Parse reads a document whose top level is an object.
func Parse(file string, raw []byte) (*Node, *Document, error) {
	doc := &Document{file: file, raw: raw}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	root, err := doc.value(decoder, "")
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
	return &Error{File: d.file, Line: d.line(decoder.InputOffset()), Path: "document", Allowed: err.Error()}
}

func (d *Document) line(offset int64) int {
	return 1 + bytes.Count(d.raw[:min(offset, int64(len(d.raw)))], []byte("\n"))
}

func (d *Document) value(decoder *json.Decoder, path string) (*Node, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	node := &Node{doc: d, path: path, offset: decoder.InputOffset(), kind: kindScalar, scalar: token}
	switch token {
	case json.Delim('{'):
		return node, d.object(decoder, node)
	case json.Delim('['):
		return node, d.array(decoder, node)
	}
	return node, nil
}

func (d *Document) object(decoder *json.Decoder, node *Node) error {
	node.kind = kindObject
	node.fields = map[string]*Node{}
	node.used = map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		field, err := d.value(decoder, join(node.path, name))
		if err != nil {
			return err
		}
		if _, twice := node.fields[name]; twice {
			field.Fail("the field stands twice")
		}
		node.fields[name] = field
		node.names = append(node.names, name)
	}
	_, err := decoder.Token()
	return err
}

func (d *Document) array(decoder *json.Decoder, node *Node) error {
	node.kind = kindArray
	for decoder.More() {
		item, err := d.value(decoder, fmt.Sprintf("%s[%d]", node.path, len(node.items)))
		if err != nil {
			return err
		}
		node.items = append(node.items, item)
	}
	_, err := decoder.Token()
	return err
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Err returns all faults found so far, or nil.
func (d *Document) Err() error {
	return errors.Join(d.faults...)
}

// Fail records a fault of the value.
func (n *Node) Fail(allowed string, values ...any) {
	fault := &Error{
		File:    n.doc.file,
		Line:    n.doc.line(n.offset),
		Path:    n.path,
		Allowed: fmt.Sprintf(allowed, values...),
	}
	if n.kind == kindScalar {
		fault.Value = fmt.Sprintf("%#v", n.scalar)
		if number, ok := n.scalar.(json.Number); ok {
			fault.Value = number.String()
		}
	}
	n.doc.faults = append(n.doc.faults, fault)
}

// Present reports whether the value stands in the document.
func (n *Node) Present() bool {
	return n.kind != kindAbsent
}

// Field returns a field of an object; an absent one where there is none.
func (n *Node) Field(name string) *Node {
	if n.used != nil {
		n.used[name] = true
	}
	if field, ok := n.fields[name]; ok {
		return field
	}
	return &Node{doc: n.doc, path: join(n.path, name), offset: n.offset}
}

// Close records a fault for each field that nobody has asked for.
func (n *Node) Close() {
	if n.kind != kindObject {
		n.Fail("must be an object")
		return
	}
	known := slices.Sorted(maps.Keys(n.used))
	for _, name := range n.names {
		if !n.used[name] {
			n.fields[name].Fail("unknown field; known are %s", strings.Join(known, ", "))
		}
	}
}

// Items returns the items of an array with at least the given number of them.
func (n *Node) Items(least int) []*Node {
	if n.kind != kindArray {
		if n.Present() || least > 0 {
			n.Fail("must be an array")
		}
		return nil
	}
	if len(n.items) < least {
		n.Fail("needs at least %d items", least)
	}
	return n.items
}

// Text returns a string that is not empty.
func (n *Node) Text() string {
	text, ok := n.scalar.(string)
	if !ok || text == "" {
		n.Fail("must be a string that is not empty")
	}
	return text
}

// TextOr returns a string, or fallback where the field is absent.
func (n *Node) TextOr(fallback string) string {
	if !n.Present() {
		return fallback
	}
	return n.Text()
}

// Address returns an IP number and a port.
func (n *Node) Address() string {
	text := n.Text()
	if _, err := netip.ParseAddrPort(text); err != nil {
		n.Fail("must be an IP number and a port, as in 127.0.0.1:8080")
	}
	return text
}

// IP returns an IP number.
func (n *Node) IP() string {
	text := n.Text()
	if _, err := netip.ParseAddr(text); err != nil {
		n.Fail("must be an IP number, as in 127.0.0.1")
	}
	return text
}

// OneOf returns a string that is one of the allowed.
func (n *Node) OneOf(allowed ...string) string {
	text, _ := n.scalar.(string)
	for _, a := range allowed {
		if text == a {
			return text
		}
	}
	n.Fail("must be one of %s", strings.Join(allowed, ", "))
	return ""
}

// Int returns a whole number between least and most.
func (n *Node) Int(least, most int64) int64 {
	number, ok := n.scalar.(json.Number)
	if !ok {
		n.Fail("must be a whole number from %d to %d", least, most)
		return least
	}
	value, err := number.Int64()
	if err != nil || value < least || value > most {
		n.Fail("must be a whole number from %d to %d", least, most)
		return least
	}
	return value
}

// IntOr returns a whole number, or fallback where the field is absent.
func (n *Node) IntOr(least, most, fallback int64) int64 {
	if !n.Present() {
		return fallback
	}
	return n.Int(least, most)
}

// Float returns a number between least and most.
func (n *Node) Float(least, most float64) float64 {
	number, ok := n.scalar.(json.Number)
	if !ok {
		n.Fail("must be a number from %g to %g", least, most)
		return least
	}
	value, err := number.Float64()
	if err != nil || value < least || value > most {
		n.Fail("must be a number from %g to %g", least, most)
		return least
	}
	return value
}

// BoolOr returns a truth value, or fallback where the field is absent.
func (n *Node) BoolOr(fallback bool) bool {
	if !n.Present() {
		return fallback
	}
	value, ok := n.scalar.(bool)
	if !ok {
		n.Fail("must be true or false")
	}
	return value
}
