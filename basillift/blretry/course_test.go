package blretry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Unix(1_800_000_000, 0)

func always() bool { return true }
func never() bool  { return false }

// follow plays the endings of one request's attempts and returns what follows the last one.
func follow(c *Course, repeat func() bool, endings ...Ending) Follow {
	var last Follow
	for _, e := range endings {
		last = c.Next(begin, e, true, repeat)
	}
	return last
}

// Guards against a request that runs twice although it must not, and against an untrue "not run".
func TestCourse(t *testing.T) {
	later := begin.Add(time.Second)
	cases := []struct {
		name       string
		repeatable bool
		repeat     func() bool
		endings    []Ending
		want       Follow
	}{
		{"answered", false, never, []Ending{EndingAnswered}, FollowAnswer},
		{"refused before a target saw it", false, never, []Ending{EndingRefused}, FollowAgain},
		{"never sent", false, never, []Ending{EndingUnreachable}, FollowAgain},
		{"shed, with allowance", false, always, []Ending{EndingShed}, FollowAgain},
		{"shed, without allowance", false, never, []Ending{EndingShed}, FollowNotRun},
		{"refused after it was shed costs an arrival", false, never, []Ending{EndingShed, EndingRefused}, FollowNotRun},
		{"broken", false, always, []Ending{EndingBroken}, FollowUnknown},
		{"broken, repeatable", true, always, []Ending{EndingBroken}, FollowAgain},
		{"broken, repeatable, without allowance", true, never, []Ending{EndingBroken}, FollowUnknown},
		{"broken, then refused", true, always, []Ending{EndingBroken, EndingRefused, EndingNoTarget}, FollowUnknown},
		{"failed", false, always, []Ending{EndingFailed}, FollowAnswer},
		{"failed, repeatable", true, always, []Ending{EndingFailed}, FollowAgain},
		{"failed twice", true, always, []Ending{EndingFailed, EndingFailed}, FollowAnswer},
		{"attempts used up", true, always, []Ending{EndingBroken, EndingBroken}, FollowUnknown},
		{"refused by many", true, always, []Ending{EndingRefused, EndingRefused, EndingRefused, EndingRefused}, FollowNotRun},
		{"nobody left", true, always, []Ending{EndingRefused, EndingNoTarget}, FollowNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(follow(NewCourse(c.repeatable, 2, later), c.repeat, c.endings...), c.want)
		})
	}
	t.Run("no time left", func(t *testing.T) {
		is.New(t).Equal(follow(NewCourse(true, 2, begin), always, EndingRefused), FollowNotRun)
	})
	t.Run("a body that cannot be sent again", func(t *testing.T) {
		is.New(t).Equal(NewCourse(true, 2, later).Next(begin, EndingRefused, false, always), FollowNotRun)
	})
}

// Guards against repeats of all daemons together that exceed the bound of a
// window, also when daemons are killed and start again with a new allowance.
func TestAllowance(t *testing.T) {
	const daemons, ratio, fixed, window = 13, 0.2, 64, 10
	play := func(requestsASecond int, restart bool) (worst float64) {
		all := make([]*Allowance, daemons)
		for i := range all {
			all[i] = NewAllowance(ratio, fixed)
		}
		var repeats []int
		for second := range 60 {
			taken := 0
			for i, a := range all {
				if restart && (second+i)%window == 0 {
					all[i] = NewAllowance(ratio, fixed)
					a = all[i]
				}
				for range requestsASecond {
					a.Requested(begin, "s", daemons)
					if a.Take(begin, "s", daemons) {
						taken++
					}
				}
			}
			repeats = append(repeats, taken)
			sum := 0
			for _, n := range repeats[max(0, len(repeats)-window):] {
				sum += n
			}
			requests := float64(min(len(repeats), window) * daemons * requestsASecond)
			worst = max(worst, float64(sum)/(ratio*requests+fixed))
		}
		return worst
	}
	for _, rate := range []int{1, 5, 50} {
		for _, restart := range []bool{false, true} {
			if worst := play(rate, restart); worst > 1 {
				t.Errorf("%d requests a second, restarts %v: %.2f of the bound", rate, restart, worst)
			}
		}
	}
	t.Run("services have allowances of their own", func(t *testing.T) {
		is := is.New(t)
		a := NewAllowance(0.2, 26)
		for a.Take(begin, "s", daemons) {
		}
		is.True(a.Take(begin, "other", daemons))
	})
}
