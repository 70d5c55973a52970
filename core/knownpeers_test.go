package core

import (
	"fmt"
	"testing"
)

// TestKnownPeersAreBounded guards against a faulty peer whose messages name, or come from, new instances
// without end.
func TestKnownPeersAreBounded(t *testing.T) {
	client := &fakePeerClient{contacted: NewSet[string](), down: NewSet[string]()}
	peers, _ := newTestPeers(client, 1, func(Fact) {})
	peers.census = newCensus()
	instance := func(number int) PeerInfo {
		name := fmt.Sprintf("10.%d.%d.%d:7100", number>>16, number>>8&255, number&255)
		return PeerInfo{Name: name, Zone: "z", Address: name, Incarnation: 1}
	}
	flood := ExchangeMessage{From: instance(0)}
	for number := range 4 * MaxKnownPeers {
		flood.Known = append(flood.Known, KnownPeer{Info: instance(number)})
	}
	peers.Receive(flood)
	for number := range 100 {
		peers.Receive(ExchangeMessage{From: instance(4*MaxKnownPeers + number)})
	}
	if count := len(peers.peers); count > MaxKnownPeers {
		t.Errorf("%d instances are kept, at most %d allowed", count, MaxKnownPeers)
	}
	if count := len(peers.census.entries); count > MaxKnownPeers {
		t.Errorf("%d instances are in the census, at most %d allowed", count, MaxKnownPeers)
	}
}
