package audit

import (
	"testing"

	"github.com/matryer/is"
)

func TestAppendLimitsAndCopiesTheTrail(t *testing.T) {
	is := is.New(t)
	old := Append(Append(nil, Entry{Op: "1"}, 2), Entry{Op: "2"}, 2)
	one := Append(old, Entry{Op: "3"}, 2)
	other := Append(old, Entry{Op: "4"}, 2)
	is.Equal(old, []Entry{{Op: "1"}, {Op: "2"}})
	is.Equal(one, []Entry{{Op: "2"}, {Op: "3"}})
	is.Equal(other, []Entry{{Op: "2"}, {Op: "4"}})
}
