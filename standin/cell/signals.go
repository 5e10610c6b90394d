package cell

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/pkg/errors"
)

// HandlesSignal reports whether the kernel shows that a process ignores or catches a
// signal. Until it does, the signal has its default effect, even if the program is going
// to install a handler.
func HandlesSignal(pid int, s syscall.Signal) (bool, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false, errors.Wrap(err, "read process status")
	}
	for line := range strings.Lines(string(status)) {
		name, mask, _ := strings.Cut(strings.TrimSpace(line), ":\t")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		taken, err := strconv.ParseUint(mask, 16, 64)
		if err != nil {
			return false, errors.Wrap(err, name)
		}
		if taken&(1<<(s-1)) != 0 {
			return true, nil
		}
	}
	return false, nil
}
