package lentillab

import (
	"os/exec"
	"syscall"
)

// setProcessAttributes makes the kernel kill the process when the thread that started
// it ends. It also puts the process into a process group of its own: an interrupt from
// the terminal then reaches only the lab, which stops its processes in an orderly way.
func setProcessAttributes(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}
