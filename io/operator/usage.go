package operator

import "syscall"

// processorSeconds returns the CPU time used by the process, in seconds.
func processorSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	const microsPerSecond = 1e6
	seconds := usage.Utime.Sec + usage.Stime.Sec
	micros := usage.Utime.Usec + usage.Stime.Usec
	return float64(seconds) + float64(micros)/microsPerSecond
}
