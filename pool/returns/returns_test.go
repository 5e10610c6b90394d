package returns

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refuse refuses a job that finds a wait of 2 s and takes the bottleneck 100 ms.
func refuse(s *Schedule[string], now time.Duration, job string) time.Duration {
	return s.Refuse(now, Request[string]{Job: job, Line: "room", Wait: 2 * time.Second, Takes: 100 * time.Millisecond, WorthFor: time.Minute, Work: job})
}

func promised(s *Schedule[string], now time.Duration, job string, within time.Duration) (list []string) {
	s.Promised(now, job, within, func(w *string) { list = append(list, *w) })
	return list
}

// Pattern: thundering herd on return. Callers that are refused at the same moment come back in the order
// of their first tries, at the rate at which the bottleneck serves them.
func TestTurnsAreOneJobApart(t *testing.T) {
	s := New[string]()
	for n := range 100 {
		assert.Equal(t, refuse(s, 0, fmt.Sprint(n)), 2*time.Second+time.Duration(n)*100*time.Millisecond)
	}
	other := Request[string]{Job: "other", Line: "advice", Wait: 2 * time.Second, WorthFor: time.Minute}
	assert.Equal(t, s.Refuse(0, other), 2*time.Second, "another bottleneck has its own turns")
}

// Early, due, late and absent callers. Guards against callers that gain by coming early or lose by
// coming a little late, and against places that are held for callers that gave up.
func TestStandingOfACaller(t *testing.T) {
	for _, x := range []struct {
		name     string
		at       time.Duration
		standing Standing
		turn     time.Duration // what a further refusal says
	}{
		{"early", 500 * time.Millisecond, Early, 1500 * time.Millisecond},
		{"just early", 2*time.Second - 1, Early, 1},
		{"at its turn", 2 * time.Second, Due, 2 * time.Second},
		{"late", 2*time.Second + Grace, Due, 2 * time.Second},
		{"absent", 2*time.Second + Grace + 1, Newcomer, 2 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := New[string]()
			refuse(s, 0, "a")
			standing, _ := s.Standing(x.at, "a")
			assert.Equal(t, standing, x.standing)
			preview := s.Preview(x.at, Request[string]{Job: "a", Line: "room", Wait: 2 * time.Second, Takes: 100 * time.Millisecond})
			assert.Equal(t, preview, x.turn)
			assert.Equal(t, refuse(s, x.at, "a"), x.turn)
			first, known := s.FirstTry("a")
			assert.Assert(t, known && first == 0, "the first try is remembered")
		})
	}
}

// Guards against newcomers that overtake callers whose turn is near, and against a caller that waits for
// those behind it.
func TestPromisedWork(t *testing.T) {
	s := New[string]()
	refuse(s, 0, "a")           // turn at 2 s
	refuse(s, 1, "b")           // 2.1 s
	refuse(s, time.Second, "c") // 3 s
	now := 1500 * time.Millisecond
	assert.DeepEqual(t, promised(s, now, "new", time.Second), []string{"a", "b"})
	assert.DeepEqual(t, promised(s, now, "new", 2*time.Second), []string{"a", "b", "c"})
	assert.DeepEqual(t, promised(s, now, "b", 2*time.Second), []string{"a"})
	s.Accept(now, "a")
	assert.DeepEqual(t, promised(s, now, "b", 2*time.Second), []string(nil))
	assert.DeepEqual(t, promised(s, 2100*time.Millisecond+Grace+1, "new", time.Second), []string{"c"}) // b has given up
}

// A caller that is refused at its turn keeps its place: what it is told isn't behind callers that came
// after it.
func TestPlaceIsKeptWhenRefusedAgain(t *testing.T) {
	s := New[string]()
	refuse(s, 0, "a")
	for n := range 50 {
		refuse(s, 0, fmt.Sprint(n))
	}
	assert.Equal(t, refuse(s, 2*time.Second, "a"), 2*time.Second, "not behind the turn of the last at 7 s")
	assert.DeepEqual(t, promised(s, 2*time.Second, "a", time.Minute), []string(nil))
}

// A caller that stayed away is put behind those that kept their places, and counts as a newcomer.
func TestPlaceIsLostByStayingAway(t *testing.T) {
	s := New[string]()
	refuse(s, 0, "a")
	at := 2*time.Second + Grace + 1
	refuse(s, at-1, "b")
	refuse(s, at, "a")
	assert.DeepEqual(t, promised(s, at, "a", time.Minute), []string{"b"})
}

// A place ends when the job can't earn anything any more, but the caller is told the turn all the same.
func TestPlaceEndsWithTheWorthOfTheJob(t *testing.T) {
	s := New[string]()
	r := Request[string]{Job: "a", Line: "room", Wait: 5 * time.Second, Takes: time.Second, WorthFor: 3 * time.Second}
	assert.Equal(t, s.Refuse(0, r), 5*time.Second)
	standing, _ := s.Standing(3*time.Second, "a")
	assert.Equal(t, standing, Newcomer)
	assert.DeepEqual(t, promised(s, 3*time.Second, "new", time.Minute), []string(nil))
}

// Guards against memory that grows with the number of refused callers.
func TestMemoryIsBounded(t *testing.T) {
	s := New[string]()
	for n := range 3 * MaxEntries {
		refuse(s, time.Duration(n)*time.Millisecond, fmt.Sprint(n))
		assert.Assert(t, s.Len() <= MaxEntries && len(s.inOrder) <= 2*MaxEntries)
	}
	for n := range 100 { // the same callers stay away and come again
		refuse(s, time.Hour+time.Duration(n)*time.Minute, fmt.Sprint(n%3))
	}
	assert.Assert(t, s.Len() <= 3 && len(s.inOrder) <= 3 && len(s.lines) <= 1)
}

// Guards against capacity that is kept for callers that never come back.
func TestReturnShareFollowsTheCallers(t *testing.T) {
	s := New[string]()
	assert.Equal(t, s.ReturnShare(), 0.5)
	for n := range 200 {
		refuse(s, time.Duration(n)*10*time.Second, fmt.Sprint("absent", n))
	}
	assert.Assert(t, s.ReturnShare() < 0.05, "%v", s.ReturnShare())
	for n := range 500 {
		at := time.Hour + time.Duration(n)*10*time.Second
		job := fmt.Sprint("back", n)
		after := refuse(s, at, job)
		s.Accept(at+after, job)
	}
	assert.Assert(t, s.ReturnShare() > 0.95, "%v", s.ReturnShare())
}

// Pattern: thundering herd on return, in virtual time. 300 callers are refused within 1 s by a server that
// serves ten jobs a second, and come back at the second after their turns. With the order of turns, no
// second has more than half as many returns again as the server serves, and first come is first served.
func TestHerdReturnsAtTheRateOfTheBottleneck(t *testing.T) {
	s := New[string]()
	perSecond := map[int]int{}
	last := time.Duration(0)
	for n := range 300 {
		at := time.Duration(n) * time.Second / 300
		after := refuse(s, at, fmt.Sprint(n))
		wire := (after + time.Second - 1).Truncate(time.Second)
		perSecond[int((at+wire)/time.Second)]++
		assert.Assert(t, at+after > last)
		last = at + after
	}
	for second, n := range perSecond {
		assert.Assert(t, n <= 15, "%d return in second %d", n, second)
	}
}
