//go:build !linux

package lentillab

import (
	"os/exec"
	"syscall"
)

// setProcessAttributes puts the process into a process group of its own. On systems
// other than Linux, a lab that is killed leaves its processes running. A lab that is
// interrupted stops them.
func setProcessAttributes(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
}
