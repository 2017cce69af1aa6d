//go:build !linux

package lentillab

import (
	"os/exec"
	"syscall"
)

// bindToThread gives the process a group of its own. Without Linux a lab that is
// killed leaves its processes behind; one that is interrupted does not.
func bindToThread(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
}
