package job

import (
	"strconv"
	"strings"
)

// taskKey identifies a task across all jobs.
type taskKey struct {
	id       ID
	instance int
	step     int
	index    int
}

// String returns the task's name on the wire.
func (k taskKey) String() string {
	b := make([]byte, 0, 40)
	b = append(b, k.id...)
	for _, n := range [...]int{k.instance, k.step, k.index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// parseTaskKey parses the name of a task. It returns false if s is not one.
func parseTaskKey(s string) (taskKey, bool) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return taskKey{}, false
	}
	k := taskKey{id: ID(p[0])}
	for i, d := range []*int{&k.instance, &k.step, &k.index} {
		n, err := strconv.Atoi(p[i+1])
		if err != nil || n < 0 {
			return taskKey{}, false
		}
		*d = n
	}
	return k, true
}

func (t *task) key() taskKey {
	n := t.step.instance
	return taskKey{id: n.job.id, instance: n.index, step: t.step.index, index: t.index}
}
