package coord_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"dotterelcart.dev/dotterelcart/coord"
	"dotterelcart.dev/dotterelcart/internal/state/faker"
)

// memory returns an in-memory store. A program passes a client of its own store
// instead.
func memory() coord.Store { return faker.New().Client("example") }

func ExampleNewLease() {
	lease := coord.NewLease(coord.LeaseOptions{TTL: time.Minute}, memory())
	defer lease.Close()
	_, err := lease.Acquire(context.Background())
	fmt.Println(err, lease.IsValid())
	// Output: <nil> true
}

func ExampleOpenLedger() {
	ctx, store := context.Background(), memory()
	fenced := make(chan struct{})
	durable := make(chan int64, 1)
	first, _, _ := coord.OpenLedger(ctx, coord.LedgerOptions{
		Shard:    "a",
		Appended: func(batch int64) { durable <- batch },
		Lost:     func() { close(fenced) },
	}, store)
	_ = first.Append(1, []coord.Record{{Key: "booking-7"}})
	fmt.Println("durable: batch", <-durable)

	second, content, _ := coord.OpenLedger(ctx, coord.LedgerOptions{Shard: "a"}, store)
	defer second.Close()
	fmt.Println("epoch", content.Epoch, "finds", content.Records[0].Key)

	_ = first.Append(2, []coord.Record{{Key: "booking-8"}})
	<-fenced
	fmt.Println("the first writer is fenced")
	// Output:
	// durable: batch 1
	// epoch 2 finds booking-7
	// the first writer is fenced
}

func ExampleVerdictOf() {
	refused := &coord.Error{Verdict: coord.NotRun, Code: "overloaded", Message: "queue is full", RetryAfter: time.Second}
	fmt.Println(coord.VerdictOf(fmt.Errorf("booking: %w", refused)))
	fmt.Println(coord.VerdictOf(errors.New("connection reset")))
	// Output:
	// not-run
	// may-have-run
}

func ExampleNewMembers() {
	first, firstSees := join("a", "")
	defer first.Close()
	second, secondSees := join("b", first.Address)
	defer second.Close()
	fmt.Println(<-firstSees, <-secondSees)
	// Output: [a b] [a b]
}

// join starts a member. It sends the names of the members that are alive, once
// there are two.
func join(name, seed string) (*coord.Node, chan []string) {
	node, err := coord.NewNode(coord.NodeOptions{Listen: "127.0.0.1:0"})
	if err != nil {
		panic(err)
	}
	options := coord.MembersOptions{
		Self:     coord.Member{Name: name, Address: node.Address},
		Interval: 10 * time.Millisecond,
		Budget:   1 << 20,
		Log:      zerolog.Nop(),
	}
	if seed != "" {
		options.Seeds = []string{seed}
	}
	seen := make(chan []string, 1)
	coord.NewMembers(options, node, func(alive []coord.Member) {
		if len(alive) < 2 {
			return
		}
		names := []string{alive[0].Name, alive[1].Name}
		select {
		case seen <- names:
		default:
		}
	})
	return node, seen
}

func ExampleNewLender() {
	seat := coord.NewSeat(memory(), "seq-bne", "bne-1", zerolog.Nop())
	defer seat.Close()
	server := coord.Backend{Worker: "w1", Domain: "seq-bne", Slots: 8}
	table := &coord.Table{}
	slots := coord.NewLender(
		coord.LenderOptions{Name: "bne-1", Domain: "seq-bne"},
		func() *coord.Table { return table }, nil, func() bool { return false }, seat, zerolog.Nop(),
	)
	defer slots.Close()
	for slots.Limit(server) == 0 {
		time.Sleep(time.Millisecond) // wait until the store holds the seat
	}
	_, ok := slots.Acquire(server, time.Now().Add(time.Second))
	_, again := slots.Acquire(server, time.Now().Add(time.Second))
	fmt.Println("base share:", slots.Limit(server), "of", server.Slots, ok, again)
	// Output: base share: 1 of 8 true false
}
