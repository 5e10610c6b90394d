package membership

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// world is some members and the network between them in virtual time.
type world struct {
	now     time.Duration
	members map[string]*Core
	order   []string
	down    map[string]bool
	paused  map[string]bool
	lost    func(from, to string, p Packet) bool
	queue   []flight
	packets int
}

type flight struct {
	from string
	send Send
	at   time.Duration
}

const (
	worldStep    = 10 * time.Millisecond
	worldLatency = 10 * time.Millisecond
)

func newWorld(n int) *world {
	w := &world{members: map[string]*Core{}, down: map[string]bool{}, paused: map[string]bool{},
		lost: func(string, string, Packet) bool { return false }}
	for i := range n {
		w.order = append(w.order, fmt.Sprintf("n%03d", i))
	}
	for _, id := range w.order {
		w.start(id, 1, w.order)
	}
	return w
}

func (w *world) start(id string, incarnation uint64, listed []string) {
	w.members[id] = New(DefaultConfig(id, incarnation))
	w.members[id].SetListed(w.now, listed)
	w.down[id] = false
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += worldStep {
		flying := w.queue
		w.queue = nil
		for _, f := range flying {
			if f.at > w.now || w.paused[f.send.To] {
				w.queue = append(w.queue, f)
				continue
			}
			if m, ok := w.members[f.send.To]; ok && !w.down[f.send.To] {
				w.post(f.send.To, m.Handle(w.now, f.send.Packet))
			}
		}
		for i, id := range w.order {
			// Members tick apart from each other, every 50 ms.
			if !w.down[id] && !w.paused[id] && int(w.now/worldStep)%5 == i%5 {
				w.post(id, w.members[id].Step(w.now))
			}
		}
	}
}

func (w *world) post(from string, sends []Send) {
	for _, s := range sends {
		w.packets++
		if !w.lost(from, s.To, s.Packet) {
			w.queue = append(w.queue, flight{from, s, w.now + worldLatency})
		}
	}
}

// views lists the different views of the members that run, ID by ID.
func (w *world) views() []string {
	set := map[string]bool{}
	for _, id := range w.order {
		if !w.down[id] && !w.paused[id] {
			set[strings.Join(w.members[id].Live(w.now), " ")] = true
		}
	}
	list := make([]string, 0, len(set))
	for v := range set {
		list = append(list, v)
	}
	sort.Strings(list)
	return list
}

func (w *world) agreeOn(t *testing.T, count int) {
	t.Helper()
	views := w.views()
	assert.Equal(t, len(views), 1, "%d different views", len(views))
	assert.Equal(t, len(strings.Fields(views[0])), count)
}

// A member dies. Its watchers no longer hear it, confirm that with others and
// tell everybody; the cell waits this long before anybody claims what it owned.
func TestDeathIsToldToAll(t *testing.T) {
	for _, n := range []int{2, 3, 7, 50} {
		t.Run(fmt.Sprint(n, " members"), func(t *testing.T) {
			w := newWorld(n)
			w.run(5 * time.Second)
			w.agreeOn(t, n)
			w.down["n001"] = true
			w.run(2100 * time.Millisecond)
			w.agreeOn(t, n-1)
		})
	}
}

// A member dies with everybody that watched it. Nobody misses its heartbeats
// until its watchers are told dead and others take their place.
func TestDeathWithAllWatchers(t *testing.T) {
	w := newWorld(7)
	w.run(5 * time.Second)
	w.down["n001"] = true
	for _, id := range w.members["n001"].watchers {
		w.down[id] = true
	}
	w.run(5 * time.Second)
	w.agreeOn(t, 3)
}

// What one member sends no longer reaches one of its watchers, while all else
// works. The watcher suspects it, asks others, and is told that it lives: nobody
// takes it for dead, and the questions stay few.
func TestOneWayCutBuriesNobody(t *testing.T) {
	w := newWorld(7)
	w.run(5 * time.Second)
	watcher := w.members["n001"].watchers[0]
	buried := 0
	w.lost = func(from, to string, p Packet) bool {
		for _, e := range p.News {
			if e.State == Dead {
				buried++
			}
		}
		return from == "n001" && to == watcher
	}
	quiet := w.packets
	w.run(10 * time.Second)
	quiet = w.packets - quiet
	w.agreeOn(t, 7)
	assert.Equal(t, buried, 0)
	w.lost = func(string, string, Packet) bool { return false }
	before := w.packets
	w.run(10 * time.Second)
	assert.Assert(t, quiet <= 2*(w.packets-before), "%d packets with the cut, %d without", quiet, w.packets-before)
}

// A member hears nobody and nobody answers it. To itself all others look dead, but
// it is the one that is cut off: it keeps them in its view.
func TestIsolatedMemberBuriesNobody(t *testing.T) {
	w := newWorld(7)
	w.run(5 * time.Second)
	w.lost = func(from, to string, _ Packet) bool { return from == "n001" || to == "n001" }
	w.run(20 * time.Second)
	assert.Equal(t, len(w.members["n001"].Live(w.now)), 7)
	assert.Equal(t, len(w.members["n002"].Live(w.now)), 6)
	w.lost = func(string, string, Packet) bool { return false }
	w.run(10 * time.Second)
	w.agreeOn(t, 7)
}

// A process is stopped for 20 s and goes on. The others have told it dead; it
// finds all of them silent, by its own fault. It must not suspect them, and it
// refutes its death.
func TestPausedMemberComesBack(t *testing.T) {
	w := newWorld(7)
	w.run(5 * time.Second)
	w.paused["n001"] = true
	w.run(20 * time.Second)
	w.agreeOn(t, 6)
	// What came meanwhile is lost, as after a connection was given up.
	w.queue = nil
	w.paused["n001"] = false
	asked := 0
	w.lost = func(from, _ string, p Packet) bool {
		if from == "n001" {
			asked += len(p.Ask)
		}
		return false
	}
	w.run(10 * time.Second)
	assert.Equal(t, asked, 0)
	w.agreeOn(t, 7)
}

// A member restarts at once under the same ID. Its earlier life is gone for
// everybody as soon as the new one is heard, without waiting for a silence.
func TestRestartIsAnotherMember(t *testing.T) {
	w := newWorld(7)
	w.run(5 * time.Second)
	w.start("n001", 2, w.order)
	w.run(time.Second)
	w.agreeOn(t, 7)
	assert.Assert(t, strings.Contains(w.views()[0], "n001@2"))
	assert.Assert(t, !strings.Contains(w.views()[0], "n001@1"))
}

// The news of a death does not reach two members. They see that their view
// differs from what others send and get the others' view.
func TestLostNewsIsRepaired(t *testing.T) {
	w := newWorld(7)
	w.run(5 * time.Second)
	w.down["n001"] = true
	w.lost = func(_, to string, p Packet) bool { return (to == "n002" || to == "n003") && len(p.News) == 1 }
	w.run(6 * time.Second)
	w.agreeOn(t, 6)
}

// The platform's list is wrong: it lacks a member and holds one that is long
// gone. All get to know the member that runs, and none waits for the other.
func TestWrongList(t *testing.T) {
	w := newWorld(0)
	w.order = []string{"n000", "n001", "n002", "n003"}
	for _, id := range w.order {
		listed := []string{"n000", "n001", "n002", "ghost"}
		w.start(id, 1, listed)
	}
	w.run(6 * time.Second)
	w.agreeOn(t, 4)
	assert.Assert(t, w.members["n000"].Settled(w.now))
}

// A third of the members dies at once, as with an availability zone.
func TestManyDeathsAtOnce(t *testing.T) {
	w := newWorld(50)
	w.run(5 * time.Second)
	for i := range 17 {
		w.down[fmt.Sprintf("n%03d", 3*i)] = true
	}
	w.run(6 * time.Second)
	w.agreeOn(t, 33)
}

// Two halves lose each other for a minute and take each other for dead. When the
// cut is over nobody sends the dead a heartbeat any more, yet the halves have to
// find each other again.
func TestHalvesFindEachOther(t *testing.T) {
	w := newWorld(7)
	w.run(5 * time.Second)
	half := func(id string) bool { return id <= "n002" }
	w.lost = func(from, to string, _ Packet) bool { return half(from) != half(to) }
	w.run(time.Minute)
	assert.Equal(t, len(w.views()), 2)
	w.lost = func(string, string, Packet) bool { return false }
	w.run(25 * time.Second)
	w.agreeOn(t, 7)
}
