package lentillab

import (
	"os/exec"
	"syscall"
)

// bindToThread makes the system kill the process when the thread that starts it
// ends. The process gets a group of its own, so that an interrupt from the
// terminal reaches only the lab, which then stops it in order.
func bindToThread(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}
