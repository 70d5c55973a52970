package core

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// textDecoder decodes the configuration "VERSION DIGEST [SERVICES]" and the instance list
// "REVISION".
type textDecoder struct{}

func (textDecoder) Configuration(raw []byte) (Configuration, error) {
	var c Configuration
	if _, err := fmt.Sscan(string(raw), &c.Version, &c.Digest); err != nil {
		return Configuration{}, errors.New("invalid configuration")
	}
	var services int
	if _, err := fmt.Sscan(string(raw), new(uint64), new(string), &services); err == nil {
		c.Services = make([]Service, services)
	}
	c.Raw = raw
	return c, nil
}

func (textDecoder) InstanceList(raw []byte) (InstanceList, error) {
	var l InstanceList
	_, err := fmt.Sscan(string(raw), &l.Revision)
	return l, err
}

func (textDecoder) EncodeInstanceList(list InstanceList) ([]byte, error) {
	return fmt.Append(nil, list.Revision), nil
}

func newTestStore() *Store {
	return NewStore(NewClock(), textDecoder{}, NewCounters())
}

// TestStore covers which of two configurations stays in force, and which are refused.
func TestStore(t *testing.T) {
	Convey("Given a store with version 5 in force", t, func() {
		store := newTestStore()
		_, err := store.UpdateConfiguration([]byte("5 m"), "platform")
		So(err, ShouldBeNil)
		cases := []struct {
			name, published string
			updated         bool
			inForce         string
			refused         int
		}{
			{"a newer version is put in force", "6 a", true, "6 a", 0},
			{"an older version is ignored", "4 z", false, "5 m", 0},
			{"the same configuration is ignored", "5 m", false, "5 m", 0},
			{"an invalid configuration is refused", "x", false, "5 m", 1},
			{"the same version with a lower digest is recorded as a conflict and not put in force", "5 c", false, "5 m", 1},
			{"the same version with a higher digest is recorded as a conflict and put in force", "5 q", true, "5 q", 1},
		}
		for _, tc := range cases {
			Convey(tc.name, func() {
				updated, _ := store.UpdateConfiguration([]byte(tc.published), "platform")
				So(updated, ShouldEqual, tc.updated)
				current, _ := store.Current()
				So(fmt.Sprint(current.Configuration.Version, " ", current.Configuration.Digest), ShouldEqual, tc.inForce)
				refusals, _ := store.Refusals()
				So(refusals, ShouldHaveLength, tc.refused)
			})
		}
	})
}

// TestStoresConvergeInAnyOrder checks that two stores that receive the same configurations
// in different orders end with the same one, and that no older one replaces a newer one.
func TestStoresConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf("%d %c", rapid.IntRange(1, 4).Draw(t, "version"), 'a'+rune(rapid.IntRange(0, 3).Draw(t, "digest")))
		})
		documents := rapid.SliceOfN(document, 1, 12).Draw(t, "documents")
		other := rapid.Permutation(documents).Draw(t, "other order")
		first, second := newTestStore(), newTestStore()
		var before Configuration
		for i := range documents {
			_, _ = first.UpdateConfiguration([]byte(documents[i]), "platform")
			_, _ = second.UpdateConfiguration([]byte(other[i]), "platform")
			current, _ := first.Current()
			if before.Newer(current.Configuration) {
				t.Fatalf("reverted from %d to %d", before.Version, current.Configuration.Version)
			}
			before = current.Configuration
		}
		a, _ := first.Current()
		b, _ := second.Current()
		if a.Configuration.Version != b.Configuration.Version || a.Configuration.Digest != b.Configuration.Digest {
			t.Fatalf("different configurations: %v and %v", a.Configuration, b.Configuration)
		}
	})
}
