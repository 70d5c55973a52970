package core

import (
	"cmp"
	"slices"
)

// PeerStatus is the state of one peer as shown in the state dump.
type PeerStatus struct {
	Info                 PeerInfo
	Address              string
	HeardAt              Millis
	ConfigurationVersion uint64
	LastError            string
}

// State returns the state of all peers, sorted by address.
func (p *Peers) State() []PeerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make([]PeerStatus, 0, len(p.peers))
	for _, peer := range p.peers {
		states = append(states, PeerStatus{
			Info:                 peer.info,
			Address:              peer.address,
			HeardAt:              peer.heardAt,
			ConfigurationVersion: peer.configurationVersion,
			LastError:            peer.lastError,
		})
	}
	slices.SortFunc(states, func(a, b PeerStatus) int { return cmp.Compare(a.Address, b.Address) })
	return states
}
