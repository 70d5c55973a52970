package core

import (
	"context"
	"errors"
)

// HandOver seals this instance's own and adopted books and sends each to the
// first successor that accepts it. It ends at the first book that can't be handed
// over. It is called once, at a planned stop.
func (o *Orders) HandOver(ctx context.Context, successors []string) error {
	defer close(o.handedOver)
	books := o.sealAll()
	for _, book := range books {
		if err := o.handOverBook(ctx, book, successors); err != nil {
			return err
		}
	}
	return nil
}

// sealAll seals the own and the adopted books and returns their copies.
func (o *Orders) sealAll() []BookCopy {
	o.mu.Lock()
	books := []*TicketBook{o.own}
	for _, adopted := range o.adopted {
		books = append(books, adopted.book)
	}
	o.mu.Unlock()
	copies := make([]BookCopy, len(books))
	for i, book := range books {
		copies[i] = book.Seal()
	}
	return copies
}

// handOverBook sends a sealed book to the successors, one after the other, until
// one accepts it. The next one is tried only if the previous one certainly did
// not take the book. If a successor doesn't answer, it may have taken the book,
// so the hand-over ends: two instances with the same book could run an order
// twice.
func (o *Orders) handOverBook(ctx context.Context, book BookCopy, successors []string) error {
	for _, address := range successors {
		err := o.peers.TakeOver(ctx, address, book)
		if errors.Is(err, ErrPeerUnreachable) {
			return err
		}
		if err != nil {
			continue
		}
		o.setMoved(book.Home, address)
		o.notify(o.movedFact(book.Home, address))
		return nil
	}
	return ErrPeerUnreachable
}

// Adopt takes over the book of a stopped instance and notifies the peers. A
// second copy of the same book is ignored: the first may have recorded runs
// since, which the second lacks.
func (o *Orders) Adopt(book BookCopy) {
	o.mu.Lock()
	if _, ok := o.adopted[book.Home]; ok || book.Home == o.own.Home() {
		o.mu.Unlock()
		return
	}
	o.expire()
	o.adopted[book.Home] = adoptedBook{
		book:  RestoreTicketBook(o.engine.Clock, book),
		since: o.engine.Clock.Now(),
	}
	o.mu.Unlock()
	o.notify(o.movedFact(book.Home, o.address))
}

// movedFact returns the fact that the instance at address has the book of home.
func (o *Orders) movedFact(home Home, address string) Fact {
	return Fact{
		Kind:    FactTicketsMoved,
		Subject: home.subject(),
		Stamp:   uint64(o.engine.Clock.Now()),
		Address: address,
	}
}

// RecordMoved records a FactTicketsMoved received from a peer. It ignores the fact if
// this instance is the one that took over the tickets.
func (o *Orders) RecordMoved(fact Fact) {
	home, ok := parseHome(fact.Subject)
	if !ok || fact.Address == o.address {
		return
	}
	o.setMoved(home, fact.Address)
}

// setMoved records that the instance at address has the book of home.
func (o *Orders) setMoved(home Home, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire()
	o.moved[home] = movedBook{address: address, since: o.engine.Clock.Now()}
}
