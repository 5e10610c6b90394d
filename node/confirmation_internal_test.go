package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// answeringStore answers appends with the given errors, one after the other, each after 100 ms, and then accepts them.
type answeringStore struct {
	idleStore
	errors *[]error
}

func (s answeringStore) Append(context.Context, Topic, []pool.Record, *Writer) (int64, error) {
	time.Sleep(100 * time.Millisecond)
	if len(*s.errors) == 0 {
		return s.end, nil
	}
	err := (*s.errors)[0]
	*s.errors = (*s.errors)[1:]
	return 0, err
}

// newConfirmableOwner returns an owner with the given electors beside its own process. Its clock is that of the test.
func newConfirmableOwner(t *testing.T, store Store, others ...elector) (*Node, *ownership) {
	began := time.Now()
	n := New(Settings{Name: "self", PeerAddr: "self", Parts: 1, Now: func() time.Duration { return time.Hour + time.Since(began) }},
		zerolog.Nop(), store, nil, nil, noWorkers{})
	pc := newPoolController(t.Context(), n, 0)
	n.controllers[0] = pc
	ctx, cancel := context.WithCancel(t.Context())
	o := &ownership{pc: pc, core: pool.New(pool.Settings{EndedRetention: time.Minute, HasPredecessors: true}, n.now()), loaded: true,
		saves: newSaveQueue(), queues: newQueueTable(), ctx: ctx, cancel: cancel, claim: claim{Node: "self", Addr: "self", Life: n.incarnation, Epoch: 1 << 16},
		electorate: newElectorate(ownerRecord{Electors: append([]elector{n.self()}, others...)}, n.now())}
	pc.own, pc.replica.claim = o, o.claim
	handleEvents(t, pc)
	return n, o
}

// Guards against an owner that confirms itself although it was told of a newer claim, as its pool had no time to handle
// that: its process counts among the electors that know the claim.
func TestOwnerThatWasToldOfANewerClaimIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, o := newConfirmableOwner(t, idleStore{})
		o.pc.send(t.Context(), func() { time.Sleep(3 * time.Second) })
		r := NoteClaimReply{}
		assert.NilError(t, Peer{n}.NoteClaim(NoteClaimArgs{Epoch: o.claim.Epoch + 1}, &r))
		assert.Assert(t, r.Life == n.incarnation && !r.NotOwner)
		time.Sleep(time.Second)
		o.askForConfirmation(o.ctx)
		assert.Equal(t, o.confirmed.time(), time.Duration(0))
		time.Sleep(3 * time.Second)
		assert.NilError(t, o.pc.do(t.Context(), func() { assert.Assert(t, o.pc.own == nil) }))
	})
}

// Guards against a repeated append that confirms an ownership as of its last attempt: the store repeats the answer to the
// first one, which may have preceded a newer claim.
func TestRepeatedAppendConfirmsAsOfTheFirstUnansweredAttempt(t *testing.T) {
	unanswered := errors.New("no answer")
	for name, c := range map[string]struct {
		errors []error
		want   time.Duration // after the first attempt
	}{
		"accepted":                     {nil, 0},
		"unanswered":                   {[]error{unanswered}, 0},
		"refused":                      {[]error{ErrRefused}, 100*time.Millisecond + appendRetry},
		"unanswered, refused":          {[]error{unanswered, ErrRefused}, 0},
		"refused, unanswered, refused": {[]error{ErrRefused, unanswered, ErrRefused}, 100*time.Millisecond + appendRetry},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, o := newConfirmableOwner(t, answeringStore{errors: &c.errors})
				prev := make(chan struct{})
				close(prev)
				began := n.now()
				o.appendUntilDone(&inFlightAppend{batch: []pendingSave{o.heartbeatSave()}, sequence: 1, prev: prev, done: make(chan struct{}), certain: true})
				assert.Equal(t, o.confirmed.time()-began, c.want)
				o.cancel()
			})
		})
	}
}

// Guards against an owner that, without the store, forgets its former electors: another instance may have claimed the pool
// right after these were replaced, when it knew only of them.
func TestFormerElectorsStayInForceWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, o := newConfirmableOwner(t, idleStore{}, elector{"x", 1}, elector{"y", 1})
		o.electorate.replace([]elector{n.self()})
		_, version := o.electorate.record(o.claim)
		o.electorate.markStored(version, n.now())
		time.Sleep(2 * electorChangePeriod)
		o.askForConfirmation(o.ctx)
		assert.Equal(t, o.confirmed.time(), time.Duration(0))
	})
}
