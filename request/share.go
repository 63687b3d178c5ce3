package request

import (
	"slices"
	"time"

	"amberway/common"
)

// SlotShare returns how many of a target's slots one process may use. The slots are
// divided evenly among the entry hosts of the data centre that hold a share. The
// remainder goes to those that rank first for the target by rendezvous hashing, which
// differ from target to target. If all processes see the same members, their shares add
// up to exactly the slots; a process that sees more members gets no larger share.
func SlotShare(target string, slots int, members []string, self string) int {
	if len(members) == 0 {
		return slots
	}
	n := slots / len(members)
	remainder := slots % len(members)
	if remainder > 0 && slices.Index(common.Rank(target, members), self) < remainder {
		n++
	}
	return n
}

// SlotShareDelay is how long a process that has just started waits before it uses slots:
// by then the others have learned of it and use fewer, and short runs on the slots that
// they gave up have ended. A share that grows needs no such wait, since it grows only if
// another process has gone.
const SlotShareDelay = 2 * time.Second

// memberAnswerTimeout is how long a process that has just started waits for answers of
// all live members before it goes on without those that are silent: twice the time after
// which a silent member is declared dead.
const memberAnswerTimeout = 8 * time.Second

// SlotShares computes how many slots of each target one process may use while members
// come and go.
type SlotShares struct {
	self    string
	members []string
	// usableAt is when a process that has just started may use slots.
	usableAt time.Time
	usable   bool
	// answersBy is when the process stops waiting for members that have not answered.
	answersBy time.Time
}

// NewSlotShares returns the shares of a process that starts now.
func NewSlotShares(now time.Time, self string) *SlotShares {
	return &SlotShares{self: self, usableAt: now.Add(SlotShareDelay), answersBy: now.Add(memberAnswerTimeout)}
}

// ObserveAnswers records whether every live member has answered the process since its
// start, and so knows of it. Until then, and until answersBy at the latest, each call
// restarts SlotShareDelay.
func (s *SlotShares) ObserveAnswers(now time.Time, all bool) {
	if !all && !s.usable && now.Before(s.answersBy) {
		s.usableAt = now.Add(SlotShareDelay)
	}
}

// SetMembers sets which members hold a share. It reports whether shares may have changed.
func (s *SlotShares) SetMembers(now time.Time, names []string) bool {
	becameUsable := !s.usable && !now.Before(s.usableAt)
	s.usable = s.usable || becameUsable
	if slices.Equal(names, s.members) {
		return becameUsable
	}
	s.members = slices.Clone(names)
	return true
}

// Usable reports whether the process may use slots yet.
func (s *SlotShares) Usable() bool {
	return s.usable
}

// Of returns the process's share of a target's slots.
func (s *SlotShares) Of(target string, slots int) int {
	if !s.usable {
		return 0
	}
	return SlotShare(target, slots, s.members, s.self)
}
